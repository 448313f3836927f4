"""JSON codecs of heartbeats, orders and order responses of workers."""

from typing import Literal

import msgspec

from sardinespool.dispatch.orders import EndedRun
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RunningRun
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.decoding import decode
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.worker_reports import WorkerLeaves
from sardinespool.messages.workflows import RunOutcome
from sardinespool.platform.integers import Count
from sardinespool.platform.integers import Integer
from sardinespool.platform.integers import Measurement
from sardinespool.platform.integers import Milliseconds
from sardinespool.settings.addresses import split_address


class _Capacity(msgspec.Struct, frozen=True):
    cpu: Count
    requested_memory_mb: Count
    gpus: Count = 0


class _Heartbeat(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    capacity: _Capacity
    sequence: Integer
    clock_ms: Integer
    labels: tuple[str, ...] = ()
    # Start time of this worker incarnation in unix milliseconds.
    born: Count = 0
    # Machine that the worker runs on.
    machine: str = ""
    # Set while draining: minimum time until the worker leaves.
    remaining_ms: Count = 0


class _Leave(msgspec.Struct, frozen=True):
    # Start time of this worker incarnation in unix milliseconds.
    born: Count | None = None


class _RunningRow(msgspec.Struct, frozen=True, array_like=True):
    task: str
    run: Count
    checkpoint: str
    percent: Measurement
    load: Measurement | None = None


class _EndedRow(msgspec.Struct, frozen=True, array_like=True):
    number: Count
    task: str
    run: Count
    end_reason: str
    checkpoint: str


class _RenewLeaseResponse(msgspec.Struct, frozen=True):
    clock_ms: Milliseconds
    running: tuple[_RunningRow, ...] = ()
    ended: tuple[_EndedRow, ...] = ()
    born: Count | None = None


class _OrderResponse(msgspec.Struct, frozen=True):
    clock_ms: Milliseconds | None = None
    reason: str = ""


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
_LEAVE_DECODER = msgspec.json.Decoder(_Leave)
_RENEW_LEASE_DECODER = msgspec.json.Decoder(_RenewLeaseResponse)
_ORDER_DECODER = msgspec.json.Decoder(_OrderResponse)
_ENCODER = msgspec.json.Encoder()

ENDS_LISTED_MAX = 500
"""Ends in one lease renewal response; the protocol sets this limit."""

RACK_LABEL = 1
"""Position of the rack in a worker's labels; the first one is its kind."""

_OUTCOME_BY_END_REASON: dict[str, RunOutcome] = {
    "done": "done",
    "failed": "failed",
    "stopped": "stopped",
    # The lease expired.
    "lapsed": "lost",
    # Another member of the gang ended.
    "broken": "lost",
    # The other members of the gang did not start in time.
    "alone": "lost",
}
_REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}


def decode_heartbeat(worker_id: str, body: bytes) -> ReportWorker:
    """Decode a worker's heartbeat.

    Raises
    ------
    InvalidMessageError
        The body is not a valid heartbeat, for instance because another
        program sent it.
    """
    try:
        heartbeat = decode(_HEARTBEAT_DECODER, body)
        split_address(heartbeat.address)
    except (InvalidMessageError, ValueError) as error:
        raise InvalidMessageError(
            f"The heartbeat can't be used: {error}", worker=worker_id
        ) from error
    return ReportWorker(
        description=WorkerDescription(
            worker_id=worker_id,
            incarnation=heartbeat.born,
            address=heartbeat.address,
            pool=heartbeat.service,
            failure_domain=heartbeat.zone,
            host=heartbeat.machine,
            labels=heartbeat.labels,
            processors_millicores=heartbeat.capacity.cpu,
            memory_mb=heartbeat.capacity.requested_memory_mb,
            accelerators=heartbeat.capacity.gpus,
            draining=heartbeat.state == "draining",
            rack="".join(heartbeat.labels[RACK_LABEL : RACK_LABEL + 1]),
        ),
        sequence=heartbeat.sequence,
        clock_ms=heartbeat.clock_ms,
        remaining_ms=heartbeat.remaining_ms,
    )


def decode_leave(worker_id: str, body: bytes) -> WorkerLeaves:
    """Decode a worker's report that it leaves; the body may be empty.

    Raises
    ------
    InvalidMessageError
        The body is not valid, for instance because another program sent it.
    """
    try:
        leave = decode(_LEAVE_DECODER, body) if body.strip() else _Leave()
    except InvalidMessageError as error:
        raise InvalidMessageError(
            f"The leave can't be used: {error}", worker=worker_id
        ) from error
    return WorkerLeaves(worker_id=worker_id, incarnation=leave.born)


def encode_renew_lease(renewal: RenewLease) -> tuple[str, bytes]:
    """Return the path and body of a lease renewal request."""
    body: dict[str, object] = {
        "fencing_token": renewal.fencing_token,
        "ack_cursor": renewal.acknowledged_end,
        "wait_ms": renewal.wait_ms,
    }
    if renewal.lease_end_ms is not None:
        body["expires_ms"] = renewal.lease_end_ms
    return "/api/hold", _ENCODER.encode(body)


def encode_order(order: Order) -> tuple[str, bytes]:
    """Return the path and body of an order request."""
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


def decode_renew_lease_response(body: bytes) -> LeaseRenewed:
    """Decode the running and ended runs in a lease renewal response.

    Raises
    ------
    InvalidMessageError
        The body is not a valid lease renewal response.
    """
    try:
        response = decode(_RENEW_LEASE_DECODER, body)
        ended = tuple(
            EndedRun(
                row.number,
                row.task,
                row.run,
                _OUTCOME_BY_END_REASON[row.end_reason],
                row.checkpoint,
            )
            for row in response.ended
        )
    except (InvalidMessageError, KeyError) as error:
        raise InvalidMessageError(
            f"The lists of a worker can't be read: {error!r}"
        ) from error
    running = tuple(
        RunningRun(
            row.task,
            row.run,
            row.checkpoint,
            int(row.percent),
            None if row.load is None else int(row.load),
        )
        for row in response.running
    )
    return LeaseRenewed(
        response.clock_ms,
        response.born,
        running,
        ended,
        is_complete=len(ended) < ENDS_LISTED_MAX,
    )


def decode_order_response(body: bytes) -> tuple[int | None, Refusal | None]:
    """Return the worker's clock and the refusal, each None if absent."""
    try:
        response = decode(_ORDER_DECODER, body)
    except InvalidMessageError:
        return None, None
    return response.clock_ms, _REFUSAL_BY_REASON.get(response.reason)
