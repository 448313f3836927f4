"""Snapshot of a domain group's replicated state."""

import msgspec

from sardinespool.domains.start_restriction import StartRestriction
from sardinespool.messages.base import Record
from sardinespool.messages.configuration import Configuration
from sardinespool.requests.record import RequestRecord
from sardinespool.tasks.job_record import JobRecord
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.workers import WorkerRecord


class DomainState(Record, frozen=True, kw_only=True):
    """Replicated state; each collection is sorted by id."""

    failure_domain: str
    group_incarnation: str
    formed_unix_ms: int
    reformed: bool
    confirmed: bool
    configuration: Configuration
    restriction: StartRestriction | None
    known_job_sequence: int
    table_version: int
    jobs: tuple[JobRecord, ...]
    tasks: tuple[TaskRecord, ...]
    workers: tuple[WorkerRecord, ...]
    requests: tuple[RequestRecord, ...]


# Sorted mapping keys give equal bytes for equal states.
_STATE_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_STATE_DECODER = msgspec.msgpack.Decoder(DomainState)


def encode_state(state: DomainState) -> bytes:
    """Encode a state; equal states give equal bytes."""
    return _STATE_ENCODER.encode(state)


def decode_state(data: bytes) -> DomainState:
    """Decode a state."""
    return _STATE_DECODER.decode(data)
