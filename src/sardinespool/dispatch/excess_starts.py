"""Starts that no longer fit, as the capacity of their worker has shrunk.

While more is reserved on a worker than its capacity, `OrderQueue` sends it no
start. Runs that have started go on.
"""

from sardinespool.dispatch.answer_handler import RunControl
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.run_state import RunPhase

EXCESS_REASON = "capacity shrank"


def give_up_excess_starts(fleet: Fleet, control: RunControl) -> None:
    """End runs whose start was never sent until the others fit.

    The latest ones are given up first. Their resources are free at once, as
    no order for them can arrive.
    """
    for worker in fleet.workers.values():
        if not worker.is_overcommitted:
            continue
        for run in reversed(list(worker.runs.values())):
            if not worker.is_overcommitted:
                break
            if (
                run.phase is RunPhase.ORDERED
                and run.committed
                and not run.sent
                and not run.stop_requested
            ):
                control.end_run(worker, run, "lost", EXCESS_REASON)
                worker.remove_run(run)
