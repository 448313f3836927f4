"""Runs of a worker that has started again.

Runs that the earlier incarnation listed ended with it. A run that it never
listed may be on the next one: its start order is unanswered and can still
arrive, or the next incarnation accepted it before its first heartbeat. Such a
run ends only after the next incarnation has confirmed a stop.
"""

from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import RunOutcome

EndRun = Callable[[WorkerState, RunState, RunOutcome, str], None]
"""Records the end of a run with its outcome and reason."""


def longest_hold_ms(settings: DispatchSettings) -> int:
    """Return how long a worker may hold a run after a call of any leader.

    The slowest clock of a worker counts.
    """
    return (
        int(settings.lease_limit_ms / settings.clock_rate_min)
        + settings.lease_margin_ms
    )


def late_lease_end_boot_ms(settings: DispatchSettings, now: Instant) -> int:
    """Return until when late starts on a restarted worker may be valid.

    Their lease ends are on the clock of an earlier incarnation, so only the
    longest lease that the worker grants bounds them.
    """
    return now.boot_ms + settings.late_order_ms + longest_hold_ms(settings)


def move_runs(
    worker: WorkerState,
    successor: WorkerState,
    settings: DispatchSettings,
    end_run: EndRun,
    now: Instant,
) -> None:
    """End the runs of an incarnation, or move them to the next one.

    Parameters
    ----------
    worker, successor : WorkerState
        The earlier incarnation and the next one.
    settings : DispatchSettings
        Timing.
    end_run : callable
        Called for each run that ended with the earlier incarnation.
    now : Instant
        Current time.
    """
    for run in list(worker.runs.values()):
        if run.in_flight:
            # The call was interrupted; the order may have arrived.
            run.unanswered += 1
            worker.unanswered_starts[run.key] = (now.boot_ms, run)
        uncertain = run.unanswered or (run.sent and not run.listed)
        if uncertain and run.phase is not RunPhase.ENDED:
            run.phase = RunPhase.ORDERED
            run.stop_requested = True
            run.stop_confirmed = False
            run.stop_reason = "never listed by an earlier incarnation"
            run.in_flight = False
            run.first_seen_clock_ms = None
            worker.remove_run(run)
            successor.add_run(run)
        else:
            end_run(worker, run, "lost", Loss.RESTARTED.value)
    _stop_late_starts(
        worker, successor, now.boot_ms - settings.late_order_ms, now
    )


def _stop_late_starts(
    worker: WorkerState,
    successor: WorkerState,
    since_boot_ms: int,
    now: Instant,
) -> None:
    """Stop ended runs whose starts may still arrive, if sent since then."""
    for key, (sent_boot_ms, earlier_run) in worker.unanswered_starts.items():
        if sent_boot_ms < since_boot_ms:
            continue
        successor.unanswered_starts[key] = (sent_boot_ms, earlier_run)
        if key in successor.runs:
            continue
        run = RunState(*key, earlier_run.task, RunPhase.ORDERED, now.boot_ms)
        run.unanswered = 1
        run.stop_requested = True
        run.stop_reason = "unanswered start on an earlier incarnation"
        successor.add_run(run)
