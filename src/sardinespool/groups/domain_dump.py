"""State dump of a domain group."""

from typing import Any

import msgspec

from sardinespool.capacity.grants import GrantTable
from sardinespool.capacity.process_versions import ProcessVersions
from sardinespool.domains.permit import StartPermit
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.requests.record import RequestRecord
from sardinespool.tasks.leases import LeaseTable


def _request_summary(record: RequestRecord) -> dict[str, Any]:
    body_bytes = None if record.answer is None else len(record.answer.body)
    status = None if record.answer is None else record.answer.status
    return {
        "key": record.key,
        "state": record.state,
        "entry_id": record.entry_id,
        "attempt_id": record.attempt_id,
        "begun_unix_ms": record.begun_unix_ms,
        "send_deadline_unix_ms": record.send_deadline_unix_ms,
        "answer_status": status,
        "answer_body_bytes": body_bytes,
    }


def dump_json(machine: DomainMachine, leader_state: dict[str, Any]) -> bytes:
    """Return the replicated and the volatile state as JSON.

    Stored responses are callers' data, so only their status and size are
    included.
    """
    state = msgspec.structs.replace(machine.state(), requests=())
    machine_state = msgspec.to_builtins(state)
    machine_state["requests"] = [
        _request_summary(record) for record in machine.requests.ordered()
    ]
    return msgspec.json.encode(
        {"machine": machine_state, "service": leader_state}, order="sorted"
    )


def volatile_state(
    machine: DomainMachine,
    leases: LeaseTable,
    grants: GrantTable,
    permit: StartPermit,
    processes: ProcessVersions,
    now_unix_ms: int,
) -> dict[str, Any]:
    """Return the state that only the leader holds."""
    worker_ids = sorted(machine.workers.workers)
    return {
        "unix_ms": now_unix_ms,
        "start_permit_deadline_unix_ms": permit.deadline_unix_ms,
        "lease_deadlines_unix_ms": {
            worker_id: leases.deadline_unix_ms(worker_id)
            for worker_id in worker_ids
        },
        "held_slots": {
            worker_id: grants.held_slots(worker_id, now_unix_ms)
            for worker_id in worker_ids
        },
        "processes": msgspec.to_builtins(processes.current(now_unix_ms)),
    }
