"""Log lines that tell which process of a worker took a call.

All decisions are made elsewhere; the functions only read the state.
"""

from sardinespool.clock import Instant
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OtherIncarnation
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.observability.logs import get_logger

_LOG = get_logger("dispatch")


def log_started(
    worker: WorkerState,
    run: RunState,
    order: StartRun,
    clock_ms: int | None,
    sent_boot_ms: int,
) -> None:
    """Log the answer to a start, with what the worker's lease rests on.

    Parameters
    ----------
    worker : WorkerState
        Incarnation for which the start was meant.
    run : RunState
        The run.
    order : StartRun
        The start.
    clock_ms : int or None
        Reading of the worker's clock in the answer.
    sent_boot_ms : int
        When the start was sent.
    """
    _LOG.info(
        "started",
        task=run.task_key,
        run=run.run,
        worker=worker.worker_id,
        life=worker.description.incarnation,
        token=order.fencing_token,
        clock_ms=clock_ms,
        lease_end_ms=order.lease_end_ms,
        sent_boot_ms=sent_boot_ms,
    )


def log_other_incarnation(
    worker: WorkerState,
    call: RenewLease | Order,
    answer: OtherIncarnation,
    now: Instant,
) -> None:
    """Log a call that another incarnation of the worker has answered.

    Parameters
    ----------
    worker : WorkerState
        Incarnation for which the call was meant.
    call : RenewLease or Order
        The call.
    answer : OtherIncarnation
        The incarnation that answered.
    now : Instant
        Current time.
    """
    _LOG.warning(
        "another incarnation answered",
        worker=worker.worker_id,
        life=worker.description.incarnation,
        answered_life=answer.incarnation,
        executed=answer.executed,
        call=type(call).__name__,
        task="" if isinstance(call, RenewLease) else call.task,
        clock_ms=answer.clock_ms,
        clock_min_ms=worker.clock.lower_bound(now.boot_ms),
        lease_end_ms=(
            None if isinstance(call, StopRun | PaceRun) else call.lease_end_ms
        ),
        lease_left_ms=worker.other_lease_end_boot_ms - now.boot_ms,
        runs=len(worker.runs),
    )
