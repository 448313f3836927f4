"""State dump of the entry, for ``/dump`` and SIGUSR1."""

from typing import Any

from sardinespool.clock import Instant
from sardinespool.programs.entry.entry_state import EntryState
from sardinespool.routing.router import Router
from sardinespool.settings.model import EntryMember
from sardinespool.transport.http_connection_pool import HttpConnectionPool


def entry_dump(
    member: EntryMember,
    state: EntryState,
    router: Router,
    pool: HttpConnectionPool,
    running: int,
    now: Instant,
) -> dict[str, Any]:
    """Return the entry's state as plain values, without secrets."""
    table = router.table
    age_ms = (
        None
        if table.synced_boot_ms is None
        else now.boot_ms - table.synced_boot_ms
    )
    return {
        "name": member.name,
        "failure_domain": member.failure_domain,
        "now_unix_ms": now.unix_ms,
        "ready": state.ready,
        "not_ready_reason": state.reason,
        "configuration_version": table.version,
        "table_version": table.table_version,
        "group_incarnation": table.group_incarnation,
        "sync_age_ms": age_ms,
        "requests_running": running,
        "requests_with_slot": router.in_progress(),
        "queued": router.queued_by_service(),
        "services": {
            name: {
                "latency_critical": policy.latency_critical,
                "timeout_ms": policy.timeout_ms,
                "mean_service_ms": round(router.mean_service_ms(name), 3),
                "usable_slots": table.usable_slots(name, now),
            }
            for name, policy in table.policies.items()
        },
        "endpoints": {
            each.endpoint.worker_id: {
                "incarnation": each.endpoint.incarnation,
                "address": each.endpoint.address,
                "services": each.endpoint.services,
                "leaving": each.endpoint.leaving,
                "floor_slots": each.floor_slots,
                "grant": each.grant,
                "usable_slots": each.usable_slots(now),
                "outstanding": each.outstanding,
                "latency_ms": round(each.latency.value(), 3),
                "consecutive_failures": each.consecutive_failures,
                "set_aside": each.is_ejected(now),
                "refused": not each.is_usable(now),
            }
            for each in table
        },
        "connections": {
            address: {"idle": idle, "busy": busy}
            for address, (idle, busy) in pool.connection_counts().items()
        },
    }
