"""Messages about jobs with dependent steps, and about their runs."""

from typing import Literal

import msgspec

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record
from sardinespool.messages.manifest import OrderTicket

WorkflowState = Literal[
    "queued", "running", "completed", "failed", "cancelled"
]
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})

RunOutcome = Literal["done", "failed", "stopped", "lost"]
"""Outcome of a run; only ``failed`` counts towards the failure limit.

``lost`` covers runs that never started and runs that ended with their lease,
their worker or another task of their gang.
"""


UNREADABLE_KEY = b"?"
"""Stands for a key that can't be read; never the digest of a key."""


class StepSpec(Record, frozen=True, kw_only=True):
    """A step: tasks with equal resources that become ready together.

    Attributes
    ----------
    after : tuple of int
        Positions of earlier steps that must complete first.
    uses_leftover_processors : bool
        Processors are not reserved; the tasks share the processors that
        other tasks of the worker leave unused.
    tasks_per_worker_max : int
        Maximum number of tasks of one occurrence on a worker; 0 for no limit.
    data_rack : str
        Rack that holds the input data, or "".
    required_label : str
        Label that the worker must have, or "".
    tail_latency_target_ms : int
        Target tail response time of a serving task; 0 if none.
    unavailable_max : int
        Maximum number of tasks of a long-running step that planned
        disruptions may stop at a time.
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
    """Specification of a job.

    With `repetitions` above 0 the steps run that many times; occurrence K
    is due at ``first_due_unix_ms + K * interval_ms``.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_due_unix_ms: int = 0
    interval_ms: int = 0


class SubmitWorkflow(Message, frozen=True, kw_only=True):
    """Submit a job to the queue that `host` and `path` select.

    The rest of the path is the job id, which makes the request idempotent.

    Attributes
    ----------
    key_digest : bytes
        SHA-256 digest of the key that the request carries, b"" if it carries
        none, `UNREADABLE_KEY` if it can't be read; so in all requests of
        callers. Earlier builds send none.
    ticket : OrderTicket or None
        Issued before the request is sent; the leader measures its age by it.
        Earlier builds send none.
    valid_ms : int
        Age of the ticket up to which the request may be carried out.
    """

    host: str
    path: str
    spec: WorkflowSpec
    key_digest: bytes = b""
    ticket: OrderTicket | None = None
    valid_ms: int = 0


class ReadWorkflow(Message, frozen=True, kw_only=True):
    """Read the state of a job; answered by `WorkflowStatus`."""

    host: str
    path: str
    key_digest: bytes = b""


class CancelWorkflow(Message, frozen=True, kw_only=True):
    """Cancel a job; answered by `WorkflowStatus`.

    `ticket` and `valid_ms` are those of `SubmitWorkflow`.
    """

    host: str
    path: str
    key_digest: bytes = b""
    ticket: OrderTicket | None = None
    valid_ms: int = 0


class CountWaiting(Message, frozen=True, kw_only=True):
    """Count the jobs of a queue that have not started any task."""

    host: str
    path: str
    key_digest: bytes = b""


class WorkflowStatus(Message, frozen=True, kw_only=True):
    """State of a job."""

    job_id: str
    state: WorkflowState


class WaitingCount(Message, frozen=True, kw_only=True):
    """Number of waiting jobs; reply to `CountWaiting`."""

    waiting: int


class AcceptWorkflow(Message, frozen=True, kw_only=True):
    """Store a job; `queue` is the name of the queue the leader selected.

    `workspace` is the name of the workspace that submitted it, or "". Earlier
    builds store no `workspace`.

    Attributes
    ----------
    key_digest : bytes or None
        Key of the request, which is checked again when the command is
        applied. None in commands of earlier builds, which are not checked.
    """

    job_id: str
    queue: str
    spec: WorkflowSpec
    workspace: str = ""
    key_digest: bytes | None = None


class JobAddress(Record, frozen=True, kw_only=True):
    """Where a job is submitted, which stays when its queue is renamed.

    `workspace` is the name of the workspace that would own the job, or "".
    """

    host: str
    prefix: str
    workspace: str
    job_id: str


class EndWorkflow(Message, frozen=True, kw_only=True):
    """Cancel a job.

    Attributes
    ----------
    address : JobAddress or None
        Address of a job that was not stored when the leader handled the
        request; a submission that is committed later is cancelled. None for a
        stored job, and in commands of earlier builds.
    caller : str
        Workspace of the caller; only with `address`.
    """

    job_id: str
    address: JobAddress | None = None
    caller: str = ""


class Assignment(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=False
):
    """Assignment of a run of a task to one incarnation of a worker.

    `task` is ``job.occurrence.step.index``; `run` is higher than that of all
    earlier runs of the task. `incarnation` is that of the worker. A `trial` is
    alone on its worker at first, as its task is suspected of crashing workers.
    """

    task: str
    run: int
    worker_id: str
    incarnation: int = msgspec.field(name="life")
    trial: bool = False


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of a run, with its last checkpoint or "".

    `crash` names the worker incarnation that crashed under the run, or is "".
    `suspect` tells whether the run is a prime suspect of that crash.
    `lived_ms` is how long the run is known to have lived, where that is
    evidence for or against its task. Earlier builds store none of the three.
    """

    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str = ""
    crash: str = ""
    suspect: bool = False
    lived_ms: int = 0


class RecordRuns(Message, frozen=True, kw_only=True):
    """Changes of one planning pass, applied in the order of the fields.

    `begun` lists jobs of which a worker has begun a task, and `opened` the
    occurrences, by job and number, that became due. Earlier builds store no
    `begun`. Tombstones up to number `forgotten_tombstones` are removed;
    earlier builds store 0.
    """

    begun: tuple[str, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    opened: tuple[tuple[str, int], ...] = ()
    assignments: tuple[Assignment, ...] = ()
    forgotten_jobs: tuple[str, ...] = ()
    forgotten_tombstones: int = 0


class RunsRecorded(Message, frozen=True, kw_only=True):
    """Positions of refused assignments, and jobs that the run ends ended."""

    refused: tuple[int, ...] = ()
    ended_jobs: tuple[str, ...] = ()
