"""Requests handed to an entry of another failure domain."""

from collections.abc import Callable
from collections.abc import Sequence

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.clock import Instant
from sardinespool.programs.entry.answers import header_outcome
from sardinespool.programs.entry.headers import forwarded_request
from sardinespool.programs.entry.headers import send_result
from sardinespool.routing import request_events as events
from sardinespool.routing.keys import rendezvous_order
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.settings.model import EntryMember
from sardinespool.transport.endpoint_pool import EndpointPool
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpRequest

CONNECTIONS_PER_ENTRY = 16


class Forwarder:
    """Sends requests to the entries of the other failure domains.

    Parameters
    ----------
    entries : Sequence[EntryMember]
        Entries of the other failure domains.
    pool : EndpointPool
        Connections to entries.
    clock : callable
        Returns the present instant.
    """

    def __init__(
        self,
        entries: Sequence[EntryMember],
        pool: EndpointPool,
        clock: Callable[[], Instant],
    ) -> None:
        self._clock = clock
        self._addresses = {entry.name: entry.address for entry in entries}
        self._pool = pool

    async def forward(
        self, plan: RequestPlan, request: HttpRequest, key: str
    ) -> events.SendResult:
        """Send a request once.

        An entry that no byte could be sent to does not count, so the next
        one is tried; the order differs from request to request.
        """
        result: events.SendResult = events.NotSent(
            "no other failure domain has an entry"
        )
        for name in rendezvous_order(plan.request_id, list(self._addresses)):
            # The other entry ends the request at its deadline by its own
            # clock; its ending is worth that difference.
            result = _read_outcome(
                await self._pool.exchange(
                    self._addresses[name],
                    CONNECTIONS_PER_ENTRY,
                    forwarded_request(plan, request, key),
                    plan.request_id,
                    lambda: self._clock().unix_ms < plan.deadline_unix_ms,
                    plan.deadline_unix_ms + CLOCK_ERROR_MS,
                )
            )
            if not isinstance(result, events.NotSent):
                break
        return result


def _read_outcome(result: ExchangeResult) -> events.SendResult:
    """Return what an exchange with another entry means to the flow."""
    ended = send_result(result)
    if isinstance(ended, events.Answered):
        return events.Answered(
            ended.answer, header_outcome(ended.answer.headers) == "not-run"
        )
    return ended
