"""Cancellation of planned starts that a worker must not get any more.

While more is reserved on a worker than its capacity, its capacity is not
known, it drains or its failure domain is evacuated, `OrderQueue` sends it no
start. Runs that have started go on.
"""

from sardinespool.clock import Instant
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.run_control import RunControl
from sardinespool.dispatch.run_state import RunPhase


def cancel_excess_starts(
    fleet: Fleet, control: RunControl, now: Instant
) -> None:
    """End runs whose start was never sent until no obstacle is left.

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
            if (
                run.phase is RunPhase.ORDERED
                and run.committed
                and not run.sent
                and not run.stop_requested
            ):
                control.end_run(worker, run, "lost", obstacle)
                worker.remove_run(run)
