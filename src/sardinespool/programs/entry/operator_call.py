"""One operator's request, with what it is carried out with."""

import dataclasses
from collections.abc import Callable
from typing import Any
from typing import TypeVar

from sardinespool.clock import Instant
from sardinespool.messages.codec import Request
from sardinespool.programs.entry.groups import Groups
from sardinespool.routing.endpoint_table import EndpointTable
from sardinespool.transport.http_messages import HttpRequest

OPERATOR_TIMEOUT_MS = 8_000
"""Longer than two elections; the command line waits 15 seconds."""

R = TypeVar("R")


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorParts:
    """What operators' requests share.

    `dump` returns the entry's own state.
    """

    failure_domain: str
    groups: Groups
    table: EndpointTable
    clock: Callable[[], Instant]
    dump: Callable[[], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorCall:
    """A request of an authenticated operator.

    `operator` is the credential's name; names in bodies are ignored.
    `parameters` are the variable parts of the path.
    """

    request: HttpRequest
    operator: str
    parameters: tuple[str, ...]
    query: dict[str, str]
    parts: OperatorParts

    async def ask(
        self, group: str, request: Request, reply_type: type[R]
    ) -> R:
        """Call a group; see `Groups.call`."""
        deadline_unix_ms = self.parts.clock().unix_ms + OPERATOR_TIMEOUT_MS
        return await self.parts.groups.call(
            group, request, deadline_unix_ms, reply_type
        )
