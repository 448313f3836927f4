"""Jobs of dependent steps, and the records of their runs."""

from typing import Literal

import msgspec

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record

WorkflowState = Literal[
    "queued", "running", "completed", "failed", "cancelled"
]
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})

RunOutcome = Literal["done", "failed", "stopped", "lost"]
"""How a run ended; only ``failed`` counts as an attempt.

``lost`` covers runs that never began and runs that ended with their lease,
their worker or another member of their gang.
"""


class StepSpec(Record, frozen=True, kw_only=True):
    """One step: tasks of equal size that start together.

    Attributes
    ----------
    after : tuple of int
        Positions of earlier steps that must be done first.
    uses_leftover_processors : bool
        The processors of the step are not reserved; its tasks share what
        other tasks of the worker leave unused.
    tasks_per_worker_max : int
        Tasks of one occurrence of the step on one worker; 0 for any number.
    data_rack : str
        Rack that holds the data; "" if there is none.
    required_label : str
        Label that the worker must have; "" if there is none.
    tail_latency_target_ms : int
        The tail of the response times of a serving task; 0 if none.
    unavailable_max : int
        Tasks of a long-running step that planned work may stop at a time.
    """

    count: int
    processors_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    expected_run_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    speculative: bool = False
    long_running: bool = False
    uses_leftover_processors: bool = False
    tasks_per_worker_max: int = 0
    data_rack: str = ""
    required_label: str = ""
    image: str = ""
    tail_latency_target_ms: int = 0
    unavailable_max: int = 0


class WorkflowSpec(Record, frozen=True, kw_only=True):
    """What a caller submits.

    With `repetitions` above 0 the steps run that many times; occurrence K
    is due at ``first_due_unix_ms + K * interval_ms``.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_unix_ms: int = 0
    interval_ms: int = 0


class SubmitWorkflow(Message, frozen=True, kw_only=True):
    """Submit a job at the queue that host and path select.

    The rest of the path is the id of the job. A repeat is recognised by it.
    """

    host: str
    path: str
    spec: WorkflowSpec


class ReadWorkflow(Message, frozen=True, kw_only=True):
    """Read the state of a job."""

    host: str
    path: str


class CancelWorkflow(Message, frozen=True, kw_only=True):
    """Cancel a job."""

    host: str
    path: str


class CountWaiting(Message, frozen=True, kw_only=True):
    """Count the jobs of a queue of which nothing has started."""

    host: str
    path: str


class WorkflowStatus(Message, frozen=True, kw_only=True):
    """State of a job."""

    job_id: str
    state: WorkflowState


class WaitingCount(Message, frozen=True, kw_only=True):
    """Answer to `CountWaiting`."""

    waiting: int


class AcceptWorkflow(Message, frozen=True, kw_only=True):
    """Store a job; `queue` names the queue that the leader resolved."""

    job_id: str
    queue: str
    spec: WorkflowSpec


class EndWorkflow(Message, frozen=True, kw_only=True):
    """Cancel a stored job."""

    job_id: str


class Assignment(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False
):
    """A run of a task given to one life of a worker.

    `task` is ``job.occurrence.step.index``; `run` is above all earlier runs
    of the task.
    """

    task: str
    run: int
    worker_id: str
    life: int


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run, with the last checkpoint or ""."""

    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str = ""


class RecordRuns(Message, frozen=True, kw_only=True):
    """Changes of one planning pass, applied in the order of the fields.

    `opened` are occurrences, by job and number, that have become due.
    """

    ends: tuple[RunEnd, ...] = ()
    opened: tuple[tuple[str, int], ...] = ()
    assignments: tuple[Assignment, ...] = ()
    forgotten_jobs: tuple[str, ...] = ()


class RunsRecorded(Message, frozen=True, kw_only=True):
    """Positions of refused assignments, and the jobs that these ends ended."""

    refused: tuple[int, ...] = ()
    ended_jobs: tuple[str, ...] = ()
