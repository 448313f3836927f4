"""Share of a job's work that is left, and when it is determined anew."""

import dataclasses

from sardinespool.workflows.critical_path import PathTimes

STEPS_PER_CHANGE = 64
"""Steps of a job that may be visited for one change of a task, so that sums
over the steps of a job cost no more than their changes. Sums of jobs of fewer
steps are exact."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkShare:
    """Share of the work of an occurrence that was left at a time.

    Attributes
    ----------
    share : float
        Share that is left, in hundredths.
    changes : int
        `WorkflowRecord.changes` at that time.
    predicted : PathTimes or None
        Predicted times at that time.
    """

    share: float
    changes: int
    predicted: PathTimes | None
