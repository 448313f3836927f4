"""Starts that no longer fit, as the capacity of their worker has shrunk.

While more is reserved on a worker than its capacity, or its capacity is not
known, `OrderQueue` sends it no start. Runs that have started go on.
"""

from sardinespool.clock import Instant
from sardinespool.dispatch.answer_handler import RunControl
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.run_state import RunPhase


def give_up_excess_starts(
    fleet: Fleet, control: RunControl, now: Instant
) -> None:
    """End runs whose start was never sent until the others fit.

    The latest ones are given up first. Their resources are free at once, as
    no order for them can arrive. On a worker that reports no capacity any
    more, all are given up.
    """
    for worker in fleet.workers.values():
        if not worker.pending or not fleet.gives_up_starts(worker, now):
            continue
        for run in reversed(list(worker.pending.values())):
            if not fleet.gives_up_starts(worker, now):
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
