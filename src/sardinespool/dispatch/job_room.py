"""Refuses jobs that the members of the group have no room to store.

Load: jobs are submitted faster than they end, for hours, or their
specifications are large. Accepted jobs are never given up, so the process
would run out of memory, or a snapshot would not fit on the disk, and nothing
would be served. Ended jobs count until they are forgotten.

The leader keeps what it has proposed and not yet seen applied; the next one
counts what is stored.
"""

from sardinespool.clock import Instant
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors.tasks import JobStoreFullError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.observability.metrics import Counter
from sardinespool.workflows.job_sizes import JobSizes
from sardinespool.workflows.job_sizes import size_of

PROPOSAL_MAX_MS = 10_000
"""Time after which a proposal without a result no longer counts."""
RETRY_AFTER_S = 5
"""Ended jobs are forgotten after some minutes, one after the other."""


class JobRoom:
    """Compares the stored and proposed jobs with the limits.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    settings : DispatchSettings
        Its `job_memory_limit_bytes` and `job_file_limit_bytes`.
    """

    def __init__(
        self, machine: ControlMachine, settings: DispatchSettings
    ) -> None:
        self._machine = machine
        self._settings = settings
        self._proposed = JobSizes()
        self._proposed_boot_ms: dict[str, int] = {}

    def begin(self) -> None:
        """Forget what an earlier leadership has proposed."""
        self._proposed.clear()
        self._proposed_boot_ms.clear()

    def check(
        self,
        job_id: str,
        queue: str,
        spec: WorkflowSpec,
        refused_jobs: Counter,
        now: Instant,
    ) -> None:
        """Raise `JobStoreFullError` if there is no room for a job.

        A job is never refused while no other one is stored, nor while its
        commit may be under way, as the refusal would not be true.
        """
        for proposed, proposed_boot_ms in list(self._proposed_boot_ms.items()):
            if now.boot_ms - proposed_boot_ms < PROPOSAL_MAX_MS:
                break
            self.release(proposed)
        if job_id in self._proposed_boot_ms:
            return
        stored = self._machine.table.sizes
        size = size_of(spec)
        memory_bytes = stored.memory_bytes + self._proposed.memory_bytes
        file_bytes = stored.file_bytes + self._proposed.file_bytes
        memory_limit = self._settings.job_memory_limit_bytes
        file_limit = self._settings.job_file_limit_bytes
        if memory_bytes and (
            memory_bytes + size.memory_bytes > memory_limit
            or file_bytes + size.file_bytes > file_limit
        ):
            refused_jobs.inc(queue=queue, reason="store full")
            raise JobStoreFullError(
                "There is no room to store the job.",
                memory_bytes=memory_bytes,
                file_bytes=file_bytes,
                retry_after_s=RETRY_AFTER_S,
            )

    def reserve(self, job_id: str, spec: WorkflowSpec, now: Instant) -> None:
        """Count a job that is proposed."""
        self._proposed.add(job_id, spec)
        self._proposed_boot_ms.pop(job_id, None)
        self._proposed_boot_ms[job_id] = now.boot_ms

    def release(self, job_id: str) -> None:
        """Stop counting a job as proposed; it may be stored now."""
        self._proposed.remove(job_id)
        self._proposed_boot_ms.pop(job_id, None)
