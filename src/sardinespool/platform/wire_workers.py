"""Bodies of workers: heartbeats, orders and their answers."""

from typing import Literal

import msgspec

from sardinespool.dispatch.orders import EndedRow
from sardinespool.dispatch.orders import HoldDone
from sardinespool.dispatch.orders import HoldWorker
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RunningRow
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.fleet import ReportWorker
from sardinespool.messages.fleet import WorkerDescription
from sardinespool.messages.workflows import RunOutcome
from sardinespool.settings.addresses import split_address


class _Capacity(msgspec.Struct, frozen=True):
    cpu: int
    requested_memory_mb: int
    gpus: int = 0


class _Heartbeat(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    capacity: _Capacity
    sequence: int
    clock_ms: int
    labels: tuple[str, ...] = ()
    # Start of this life of the worker; unix milliseconds.
    born: int = 0
    # The machine that the worker is a life of.
    machine: str = ""
    # Only while draining: the least time until the worker leaves.
    remaining_ms: int = 0


class _Hold(msgspec.Struct, frozen=True):
    clock_ms: int
    # [task, run, saved, percent, load]; the last entry may be missing.
    running: tuple[tuple[object, ...], ...] = ()
    # [number, task, run, how, saved].
    ended: tuple[tuple[int, str, int, str, str], ...] = ()
    born: int | None = None


class _OrderAnswer(msgspec.Struct, frozen=True):
    clock_ms: int | None = None
    reason: str = ""


_HEARTBEATS = msgspec.json.Decoder(_Heartbeat)
_HOLDS = msgspec.json.Decoder(_Hold)
_ORDER_ANSWERS = msgspec.json.Decoder(_OrderAnswer)
_ENCODER = msgspec.json.Encoder()

_OUTCOMES: dict[str, RunOutcome] = {
    "done": "done",
    "failed": "failed",
    "stopped": "stopped",
    # The lease ended.
    "lapsed": "lost",
    # Another member of the gang ended.
    "broken": "lost",
    # The other members of the gang did not come in time.
    "alone": "lost",
}
_REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}


def decode_heartbeat(worker_id: str, body: bytes) -> ReportWorker:
    """Decode what a worker says of itself.

    Raises
    ------
    InvalidMessageError
        The body comes from another writer: it names no worker to use.
    """
    try:
        beat = _HEARTBEATS.decode(body)
        split_address(beat.address)
    except (msgspec.MsgspecError, ValueError) as error:
        raise InvalidMessageError(
            f"The heartbeat can't be used: {error}", worker=worker_id
        ) from error
    return ReportWorker(
        description=WorkerDescription(
            worker_id=worker_id,
            life=beat.born,
            address=beat.address,
            pool=beat.service,
            failure_domain=beat.zone,
            host=beat.machine,
            labels=beat.labels,
            processors_millicores=beat.capacity.cpu,
            memory_mb=beat.capacity.requested_memory_mb,
            accelerators=beat.capacity.gpus,
            draining=beat.state == "draining",
        ),
        sequence=beat.sequence,
        clock_ms=beat.clock_ms,
        remaining_ms=beat.remaining_ms,
    )


def encode_hold(hold: HoldWorker) -> tuple[str, bytes]:
    """Return path and body of a hold."""
    body: dict[str, object] = {
        "fencing_token": hold.fencing_token,
        "ack_cursor": hold.acknowledged_end,
        "wait_ms": hold.wait_ms,
    }
    if hold.lease_end_ms is not None:
        body["expires_ms"] = hold.lease_end_ms
    return "/api/hold", _ENCODER.encode(body)


def encode_order(order: Order) -> tuple[str, bytes]:
    """Return path and body of an order."""
    match order:
        case StartRun():
            body: dict[str, object] = {
                "task": order.task,
                "run": order.run,
                "task_spec": order.payload,
                "expires_ms": order.lease_end_ms,
                "fencing_token": order.fencing_token,
            }
            if order.checkpoint:
                body["checkpoint"] = order.checkpoint
            return "/api/run-start", _ENCODER.encode(body)
        case StopRun():
            return "/api/run-stop", _ENCODER.encode(
                {
                    "task": order.task,
                    "run": order.run,
                    "fencing_token": order.fencing_token,
                }
            )
        case PaceRun():
            return "/api/pace", _ENCODER.encode(
                {
                    "task": order.task,
                    "run": order.run,
                    "percent": order.percent,
                    "fencing_token": order.fencing_token,
                }
            )


def decode_hold(body: bytes) -> HoldDone:
    """Decode the lists of a worker.

    Raises
    ------
    InvalidMessageError
        The body can't be read.
    """
    try:
        hold = _HOLDS.decode(body)
        running = tuple(_running(row) for row in hold.running)
        ended = tuple(
            EndedRow(number, task, run, _OUTCOMES[how], saved)
            for number, task, run, how, saved in hold.ended
        )
    except (msgspec.MsgspecError, KeyError, TypeError, IndexError) as error:
        raise InvalidMessageError(
            f"The lists of a worker can't be read: {error!r}"
        ) from error
    return HoldDone(hold.clock_ms, hold.born, running, ended)


def decode_order_answer(body: bytes) -> tuple[int | None, Refusal | None]:
    """Return clock and refusal of an order's answer, where it has them."""
    try:
        answer = _ORDER_ANSWERS.decode(body)
    except msgspec.MsgspecError:
        return None, None
    return answer.clock_ms, _REFUSALS.get(answer.reason)


def _running(row: tuple[object, ...]) -> RunningRow:
    task, run, saved, percent, *rest = row
    load = rest[0] if rest else None
    if not (
        isinstance(task, str)
        and isinstance(run, int)
        and isinstance(saved, str)
        and isinstance(percent, int | float)
        and isinstance(load, int | float | None)
    ):
        raise TypeError(f"row {row!r}")
    return RunningRow(
        task,
        run,
        saved,
        int(percent),
        None if load is None else int(load),
    )
