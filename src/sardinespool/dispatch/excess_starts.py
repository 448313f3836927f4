"""Cancellation of planned starts that a worker must not get any more.

While more is reserved on a worker than its capacity, its capacity is not
known, it drains or its failure domain is evacuated, `OrderQueue` sends it no
start. The same holds for the starts of a workspace whose limit has fallen.
Runs that have started go on.
"""

from sardinespool.clock import Instant
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.run_control import RunControl
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.start_limits import LIMIT_OBSTACLE


def cancel_excess_starts(
    fleet: Fleet, control: RunControl, now: Instant
) -> None:
    """End runs whose start was never sent until no obstacle is left.

    Starts in excess of the limit of their workspace all end.

    The latest ones are cancelled first, until the others fit; on a worker
    that drains, is evacuated or has no recent heartbeat, all are. Their
    resources are free at once, as no order for them can arrive.
    """
    for worker in fleet.workers.values():
        if not worker.pending or not fleet.start_obstacle(worker, now):
            continue
        for run in reversed(list(worker.pending.values())):
            obstacle = fleet.start_obstacle(worker, now)
            if not obstacle:
                break
            if _is_unsent(run):
                control.end_run(worker, run, "lost", obstacle)
                worker.remove_run(run)
    for worker, run in fleet.limits.excess_starts():
        if _is_unsent(run):
            control.end_run(worker, run, "lost", LIMIT_OBSTACLE)
            worker.remove_run(run)


def _is_unsent(run: RunState) -> bool:
    """Return whether no order for a planned run was sent."""
    return (
        run.phase is RunPhase.ORDERED
        and run.committed
        and not run.sent
        and not run.stop_requested
    )
