"""Operations on runs that the parts of the dispatcher share."""

from typing import Protocol

from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import RunOutcome


class RunControl(Protocol):
    """Operations of the dispatcher that change runs."""

    def end_run(
        self,
        worker: WorkerState,
        run: RunState,
        outcome: RunOutcome,
        reason: str,
        listed_number: int = 0,
    ) -> None:
        """Record the end of a run."""

    def stop_run(
        self, worker: WorkerState, run: RunState, reason: str
    ) -> None:
        """Stop a run."""

    def stop_later_runs(self, task_key: str, done_run: int) -> None:
        """Stop the runs that followed a run of a task that is done."""

    def handle_fencing(self, refused_token: int) -> None:
        """Stop sending orders with a fencing token that a worker refused."""

    def defer_acknowledgement(self, worker: WorkerState) -> None:
        """Commit the listed ends before acknowledging them to the worker."""
