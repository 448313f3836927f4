"""Workers' heartbeats, passed to the domain group."""

from collections.abc import Callable

import msgspec

from sardinespool.clock import Instant
from sardinespool.errors.tasks import FailureDomainMismatchError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.programs.entry.answers import json_answer
from sardinespool.programs.entry.credentials import Credentials
from sardinespool.programs.entry.groups import Groups
from sardinespool.transport.http_messages import HttpAnswer
from sardinespool.transport.http_messages import HttpRequest

HEARTBEAT_TIMEOUT_MS = 2_000
"""Leaves a worker two more tries with other entries within its lease."""


class WorkerHandler:
    """Answers ``POST /v1/heartbeat``.

    Parameters
    ----------
    failure_domain : str
        The entry's own.
    groups : Groups
        Client of the domain's group.
    credentials : Credentials
        Tokens of workers.
    clock : callable
        Returns the present instant.
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

    async def heartbeat(self, request: HttpRequest) -> HttpAnswer:
        """Pass a heartbeat on and return the group's reply."""
        self._credentials.require(request, "worker")
        try:
            heartbeat = self._decoder.decode(request.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise InvalidMessageError(str(error)) from error
        if heartbeat.sent_unix_ms <= 0:
            # Absent tasks are judged by the time of sending.
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
        return json_answer(reply)
