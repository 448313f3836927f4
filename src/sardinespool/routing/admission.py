"""Admission of requests to a service's queue."""

from sardinespool.clock import Instant
from sardinespool.errors.requests import DeadlineUnreachableError
from sardinespool.errors.requests import NoEndpointError
from sardinespool.routing.endpoint_table import EndpointTable
from sardinespool.routing.fair_queue import FairQueue
from sardinespool.routing.fair_queue import Waiting


def check_reachable(
    waiting: Waiting,
    queue: FairQueue,
    table: EndpointTable,
    service_ms: float,
    now: Instant,
) -> None:
    """Check that a new request can be answered before its deadline.

    Parameters
    ----------
    waiting : Waiting
        The new request.
    queue : FairQueue
        Requests of the same service that wait already.
    table : EndpointTable
        Source of the usable slots.
    service_ms : float
        Recent mean service time, 0 before the first answer.
    now : Instant
        Present time.

    Raises
    ------
    NoEndpointError
        No endpoint of the service may be used.
    DeadlineUnreachableError
        The deadline is before the expected end.
    """
    if now.unix_ms >= waiting.deadline_unix_ms:
        raise DeadlineUnreachableError(
            "The deadline has passed.",
            deadline_unix_ms=waiting.deadline_unix_ms,
        )
    if not table.has_endpoint(waiting.service, now):
        raise NoEndpointError(
            "No endpoint of the service can be used.", service=waiting.service
        )
    ahead = queue.ahead_of(waiting.user)
    wait_ms = 0.0
    if ahead or not table.has_free_slot(waiting.service, now):
        slots = table.usable_slots(waiting.service, now)
        wait_ms = (ahead + 1) * service_ms / max(1, slots)
    if now.unix_ms + wait_ms + service_ms > waiting.deadline_unix_ms:
        raise DeadlineUnreachableError(
            "The request can't be answered before its deadline.",
            deadline_unix_ms=waiting.deadline_unix_ms,
            expected_wait_ms=round(wait_ms),
            expected_service_ms=round(service_ms),
        )
