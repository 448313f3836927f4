"""Cancellation of starts that no longer fit, as a worker's capacity shrank.

While more is reserved on a worker than its capacity, or its capacity is not
known, `OrderQueue` sends it no start. Runs that have started go on.
"""

from sardinespool.clock import Instant
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.run_control import RunControl
from sardinespool.dispatch.run_state import RunPhase


def cancel_excess_starts(
    fleet: Fleet, control: RunControl, now: Instant
) -> None:
    """End runs whose start was never sent until the others fit.

    The latest ones are cancelled first. Their resources are free at once, as
    no order for them can arrive. On a worker without a recent heartbeat, all
    are cancelled.
    """
    for worker in fleet.workers.values():
        if not worker.pending or not fleet.must_cancel_starts(worker, now):
            continue
        for run in reversed(list(worker.pending.values())):
            if not fleet.must_cancel_starts(worker, now):
                break
            if (
                run.phase is RunPhase.ORDERED
                and run.committed
                and not run.sent
                and not run.stop_requested
            ):
                control.end_run(
                    worker, run, "lost", "capacity shrank or unknown"
                )
                worker.remove_run(run)
