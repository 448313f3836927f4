"""Admission control for new requests."""

from sardinespool.clock import Instant
from sardinespool.errors.requests import DeadlineUnreachableError
from sardinespool.errors.requests import NoEndpointError
from sardinespool.routing.endpoint_table import EndpointTable
from sardinespool.routing.fair_queue import FairQueue
from sardinespool.routing.fair_queue import QueuedRequest


def check_admission(
    waiting: QueuedRequest,
    queue: FairQueue,
    table: EndpointTable,
    mean_service_ms: float,
    now: Instant,
) -> None:
    """Check that a new request can be answered before its deadline.

    Parameters
    ----------
    waiting : QueuedRequest
        New request.
    queue : FairQueue
        Queued requests of the same service.
    table : EndpointTable
        Endpoints of the failure domain.
    mean_service_ms : float
        Recent mean service time, 0 before the first answer.
    now : Instant
        Current time.

    Raises
    ------
    NoEndpointError
        The service has no usable endpoint.
    DeadlineUnreachableError
        The request is expected to end after its deadline.
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
    ahead_count = queue.count_ahead_of(waiting.user)
    wait_ms = 0.0
    if ahead_count or not table.has_free_slot(waiting.service, now):
        slots = table.usable_slots(waiting.service, now)
        wait_ms = (ahead_count + 1) * mean_service_ms / max(1, slots)
    if now.unix_ms + wait_ms + mean_service_ms > waiting.deadline_unix_ms:
        raise DeadlineUnreachableError(
            "The request can't be answered before its deadline.",
            deadline_unix_ms=waiting.deadline_unix_ms,
            expected_wait_ms=round(wait_ms),
            expected_service_ms=round(mean_service_ms),
        )
