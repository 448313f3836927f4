"""Forwarding of worker heartbeats to the domain group."""

from collections.abc import Callable

import msgspec

from sardinespool.clock import Instant
from sardinespool.errors.tasks import FailureDomainMismatchError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.decoding import decode
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.programs.entry.credentials import Credentials
from sardinespool.programs.entry.groups import Groups
from sardinespool.programs.entry.responses import json_response
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse

HEARTBEAT_TIMEOUT_MS = 2_000
"""Short enough for two retries at other entries within a lease."""


class WorkerHandler:
    """Answers ``POST /v1/heartbeat``.

    Parameters
    ----------
    failure_domain : str
        The entry's own failure domain.
    groups : Groups
        Clients of all groups.
    credentials : Credentials
        Authenticates workers.
    clock : callable
        Returns the current instant.
    """

    def __init__(
        self,
        failure_domain: str,
        groups: Groups,
        credentials: Credentials,
        clock: Callable[[], Instant],
    ) -> None:
        self._failure_domain = failure_domain
        self._groups = groups
        self._credentials = credentials
        self._clock = clock
        self._decoder = msgspec.json.Decoder(Heartbeat)

    async def heartbeat(self, request: HttpRequest) -> HttpResponse:
        """Forward a heartbeat to the domain group; return its reply."""
        self._credentials.require(request, "worker")
        heartbeat = decode(self._decoder, request.body)
        if heartbeat.sent_unix_ms <= 0:
            # The group uses this time to decide whether a task that the
            # heartbeat does not list is absent.
            raise InvalidMessageError(
                "The heartbeat does not say when it was sent.",
                field="sent_unix_ms",
            )
        if heartbeat.failure_domain != self._failure_domain:
            raise FailureDomainMismatchError(
                "The worker is in another failure domain than this entry.",
                found=heartbeat.failure_domain,
                allowed=self._failure_domain,
            )
        reply = await self._groups.call(
            self._failure_domain,
            heartbeat,
            self._clock().unix_ms + HEARTBEAT_TIMEOUT_MS,
            HeartbeatReply,
        )
        return json_response(reply)
