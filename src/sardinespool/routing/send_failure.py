"""Classification of exchanges that the endpoint did not answer."""

import dataclasses

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.requests import DeadlineUnreachableError
from sardinespool.errors.requests import EndpointRefusedError
from sardinespool.errors.requests import NoEndpointError
from sardinespool.errors.requests import OutcomeUnknownError
from sardinespool.routing.request_events import Answered
from sardinespool.routing.request_events import Lost
from sardinespool.routing.request_events import NotSent
from sardinespool.routing.request_events import SendResult
from sardinespool.routing.router_events import SlotResult


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailure:
    """A failed exchange.

    `may_have_run` is False only if no byte was sent or the endpoint stated
    that it did not run the request. `unsent` is True if no byte was sent and
    the deadline has not passed; trying another endpoint then takes nothing
    from the retry budget.
    """

    use: SlotResult
    error: SardinespoolError
    may_have_run: bool = False
    unsent: bool = False


def classify_failure(
    result: SendResult, worker_id: str, deadline_unix_ms: int, now: Instant
) -> SendFailure | None:
    """Return how an exchange failed, or None if the endpoint answered.

    An exchange not sent because its deadline had passed does not count as a
    failure of the endpoint.
    """
    match result:
        case Answered(_, not_run):
            if not not_run:
                return None
            refused = EndpointRefusedError(
                "The endpoint refused the request.", worker_id=worker_id
            )
            return SendFailure(SlotResult.REFUSED, refused)
        case NotSent():
            if now.unix_ms >= deadline_unix_ms:
                late = deadline_passed_error(deadline_unix_ms)
                return SendFailure(SlotResult.UNUSED, late)
            not_sent = NoEndpointError(result.reason, worker_id=worker_id)
            return SendFailure(SlotResult.UNREACHABLE, not_sent, unsent=True)
        case Lost():
            lost = OutcomeUnknownError(result.reason, worker_id=worker_id)
            return SendFailure(SlotResult.FAILED, lost, may_have_run=True)


def deadline_passed_error(deadline_unix_ms: int) -> DeadlineUnreachableError:
    """Return the error of a request whose deadline has passed."""
    return DeadlineUnreachableError(
        "The deadline has passed.", deadline_unix_ms=deadline_unix_ms
    )
