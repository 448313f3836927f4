"""What the leader knows of one worker."""

from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_clock import WorkerClock
from sardinespool.messages.fleet import WorkerDescription
from sardinespool.messages.workflows import StepSpec

RunKey = tuple[str, int]
SERVING_LOAD = 0.5
"""Share of its processors that a serving task is taken to use.

Serving tasks are sized for their peak; half is a first guess until their
usage is measured.
"""


class WorkerState:
    """Room, runs, lease and condition of one life of a worker.

    Attributes
    ----------
    pending : dict of RunKey to RunState
        Runs for which an order may be outstanding.
    unanswered_starts : dict of RunKey to (int, RunState)
        Boot time and run of starts that may still be carried out, also of
        runs that have ended.
    answered : bool
        Whether the worker answered the last call; nothing is placed on it
        otherwise.
    reconciled : bool
        Whether this leader has seen what runs there.
    lease_end_ms : int
        Greatest lease end sent by this leader, on the worker's clock.
    blind_lease_boot_ms : int
        Until then, leases that an earlier leader gave may be in force.
    acknowledged_end : int
        Ends up to this number are in the log.
    listed_end : int
        Greatest number of an end that was listed.
    ends_in_commit : bool
        Whether listed ends wait for their commit.
    busy_millicores : int
        Processors that tasks with reserved processors are expected to use.
    filling_millicores : int
        Processors that tasks without reserved processors could use.
    serving_images : dict of str to int
        Serving runs by image.
    filling_use : dict of str to float
        Measured share of the worker's processors by image that fills.
    """

    def __init__(
        self,
        description: WorkerDescription,
        settings: DispatchSettings,
        blind_lease_boot_ms: int,
    ) -> None:
        self.description = description
        self.clock = WorkerClock(settings.clock_rate_min)
        self.blind_lease_boot_ms = blind_lease_boot_ms
        self.free_millicores = description.processors_millicores
        self.free_memory_mb = description.memory_mb
        self.free_accelerators = description.accelerators
        self.runs: dict[RunKey, RunState] = {}
        self.pending: dict[RunKey, RunState] = {}
        self.unanswered_starts: dict[RunKey, tuple[int, RunState]] = {}
        self.sequence = -1
        self.answered = False
        self.reconciled = False
        self.lease_end_ms = 0
        self.acknowledged_end = 0
        self.listed_end = 0
        self.ends_in_commit = False
        self.last_answer_boot_ms = -1
        self.leaves_boot_ms: int | None = None
        self.avoid_until_boot_ms = 0
        self.failed_jobs: set[str] = set()
        self.on_trial = False
        self.busy_millicores = 0
        self.filling_millicores = 0
        self.serving_images: dict[str, int] = {}
        self.filling_use: dict[str, float] = {}
        self.pace_changed_boot_ms = 0

    @property
    def leftover_millicores(self) -> int:
        """Processors that filling tasks are expected to find unused."""
        return (
            self.description.processors_millicores
            - self.busy_millicores
            - self.filling_millicores
        )

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.description.worker_id

    def fits(self, step: StepSpec) -> bool:
        """Return whether a task of the step has room."""
        return (
            step.memory_mb <= self.free_memory_mb
            and step.accelerators <= self.free_accelerators
            and (
                step.uses_leftover_processors
                or step.processors_millicores <= self.free_millicores
            )
        )

    def add_run(self, run: RunState) -> None:
        """Reserve the room of a run."""
        self.runs[run.key] = run
        if run.needs_order:
            self.pending[run.key] = run
        if run.step is not None:
            self._change(run.step.spec, -1)

    def remove_run(self, run: RunState) -> None:
        """Free the room of a run that has ended."""
        self.pending.pop(run.key, None)
        if self.runs.pop(run.key, None) is not None and run.step is not None:
            self._change(run.step.spec, 1)

    def measure_filling(self) -> None:
        """Take the use of what fills from the last list."""
        whole = max(1, self.description.processors_millicores)
        self.filling_use = {}
        for run in self.runs.values():
            step = run.step
            if step is not None and step.spec.uses_leftover_processors:
                self._add_use(step.spec.image, run.used_millicores / whole)

    def declared_use(self) -> dict[str, float]:
        """Return the share of the processors by image at full pace.

        Slowed runs count in full: they are to go on at full pace.
        """
        whole = max(1, self.description.processors_millicores)
        use: dict[str, float] = {}
        for run in self.runs.values():
            step = run.step
            if step is not None and step.spec.uses_leftover_processors:
                share = step.spec.processors_millicores / whole
                use[step.spec.image] = use.get(step.spec.image, 0.0) + share
        return use

    def _add_use(self, image: str, share: float) -> None:
        self.filling_use[image] = self.filling_use.get(image, 0.0) + share

    def describe(self, description: WorkerDescription) -> None:
        """Take a changed description of the same life."""
        old = self.description
        self.free_millicores += (
            description.processors_millicores - old.processors_millicores
        )
        self.free_memory_mb += description.memory_mb - old.memory_mb
        self.free_accelerators += description.accelerators - old.accelerators
        self.description = description

    def _change(self, step: StepSpec, sign: int) -> None:
        self.free_memory_mb += sign * step.memory_mb
        self.free_accelerators += sign * step.accelerators
        if step.uses_leftover_processors:
            self.filling_millicores -= sign * step.processors_millicores
            whole = max(1, self.description.processors_millicores)
            if sign < 0:
                self._add_use(step.image, step.processors_millicores / whole)
            return
        self.free_millicores += sign * step.processors_millicores
        busy = step.processors_millicores
        if step.tail_latency_target_ms:
            busy = int(busy * SERVING_LOAD)
            image = step.image
            count = self.serving_images.get(image, 0) - sign
            if count > 0:
                self.serving_images[image] = count
            else:
                self.serving_images.pop(image, None)
        self.busy_millicores -= sign * busy
