"""Ends of runs on their way into the replicated state."""

from collections.abc import Iterator

from sardinespool.dispatch import crash_trials
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import RunKey
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunOutcome


class EndQueue:
    """Collects ends for the next command and follows those in a command.

    An end that a worker lists is acknowledged to it only once it is
    committed.
    """

    def __init__(self) -> None:
        self._pending_ends: list[RunEnd] = []
        self._ended_runs: list[tuple[WorkerState, RunState]] = []
        self._committing_runs: list[tuple[WorkerState, RunState]] = []
        self._listed_ends: list[tuple[WorkerState, int]] = []
        self._committing_ends: list[tuple[WorkerState, int]] = []

    @property
    def has_pending(self) -> bool:
        """Whether an end waits for the next command."""
        return bool(self._pending_ends)

    @property
    def run_keys(self) -> set[RunKey]:
        """Runs whose ends are not committed."""
        return {
            run.key for _, run in (*self._ended_runs, *self._committing_runs)
        }

    def add(
        self, worker: WorkerState, run: RunState, outcome: RunOutcome
    ) -> None:
        """Queue the end of a run."""
        crash = run.crash if outcome == "lost" else ""
        lived_ms = crash_trials.evidence_age_ms(worker, run)
        self._pending_ends.append(
            RunEnd(
                run.task_key,
                run.run,
                outcome,
                run.checkpoint,
                crash,
                run.suspect and bool(crash),
                lived_ms,
            )
        )
        self._ended_runs.append((worker, run))

    def defer_acknowledgement(self, worker: WorkerState) -> None:
        """Acknowledge the ends that a worker listed once they are committed.

        The next lease renewal of the worker waits until then.
        """
        worker.ends_commit_pending = True
        self._listed_ends.append((worker, worker.last_listed_end))

    def take(self) -> tuple[RunEnd, ...]:
        """Return the queued ends for a command."""
        ends, self._pending_ends = tuple(self._pending_ends), []
        self._committing_runs, self._ended_runs = self._ended_runs, []
        self._committing_ends, self._listed_ends = self._listed_ends, []
        return ends

    def remove_committed_runs(self) -> None:
        """Free the resources of the runs whose ends are committed."""
        for worker, run in self._committing_runs:
            worker.remove_run(run)
        self._committing_runs = []

    def acknowledge(self) -> Iterator[WorkerState]:
        """Acknowledge the committed ends; yield the workers to call."""
        committed_ends, self._committing_ends = self._committing_ends, []
        for worker, number in committed_ends:
            worker.acknowledged_end = max(worker.acknowledged_end, number)
            worker.ends_commit_pending = False
            yield worker

    def reset(self) -> None:
        """Forget all ends."""
        self._pending_ends = []
        self._ended_runs = []
        self._committing_runs = []
        self._listed_ends = []
        self._committing_ends = []
