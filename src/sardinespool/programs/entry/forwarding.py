"""Forwarding of requests to entries of other failure domains."""

from collections.abc import Callable
from collections.abc import Sequence

from sardinespool.clock import CLOCK_ERROR_MS
from sardinespool.clock import Instant
from sardinespool.programs.entry.headers import forwarded_request
from sardinespool.programs.entry.headers import send_result
from sardinespool.programs.entry.responses import outcome_from_headers
from sardinespool.routing import request_events as events
from sardinespool.routing.keys import rendezvous_order
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.settings.model import EntryMember
from sardinespool.transport.http_connection_pool import HttpConnectionPool
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import HttpRequest

CONNECTIONS_PER_ENTRY = 16


class Forwarder:
    """Sends requests to the entries of the other failure domains.

    Parameters
    ----------
    entries : Sequence[EntryMember]
        Entries of the other failure domains.
    pool : HttpConnectionPool
        Connection pool for entries.
    clock : callable
        Returns the current instant.
    """

    def __init__(
        self,
        entries: Sequence[EntryMember],
        pool: HttpConnectionPool,
        clock: Callable[[], Instant],
    ) -> None:
        self._clock = clock
        self._addresses = {entry.name: entry.address for entry in entries}
        self._pool = pool

    async def forward(
        self, plan: RequestPlan, request: HttpRequest, key: str
    ) -> events.SendResult:
        """Send a request to another failure domain, once.

        If no byte could be sent to an entry, the next one is tried. The
        order of the entries depends on the request's id.
        """
        result: events.SendResult = events.NotSent(
            "no other failure domain has an entry"
        )
        for name in rendezvous_order(plan.request_id, list(self._addresses)):
            # The other entry replies by the deadline of its own clock, so
            # this waits longer by the tolerated clock error.
            result = _forward_result(
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


def _forward_result(result: ExchangeResult) -> events.SendResult:
    """Convert the result of an exchange with another entry."""
    ended = send_result(result)
    if isinstance(ended, events.Answered):
        return events.Answered(
            ended.answer,
            outcome_from_headers(ended.answer.headers) == "not-run",
        )
    return ended
