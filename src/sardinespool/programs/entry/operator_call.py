"""Context of one operator request."""

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
"""Longer than two elections; less than the command line's 15 s timeout."""

R = TypeVar("R")


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorContext:
    """Objects that all operator requests share.

    `dump` returns the state of this entry.
    """

    failure_domain: str
    groups: Groups
    table: EndpointTable
    clock: Callable[[], Instant]
    dump: Callable[[], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorCall:
    """A request of an authenticated operator.

    `operator` is the name of the credential; names in the body are ignored.
    `parameters` are the variable segments of the path.
    """

    request: HttpRequest
    operator: str
    parameters: tuple[str, ...]
    query: dict[str, str]
    context: OperatorContext

    async def call_group(
        self, group: str, request: Request, reply_type: type[R]
    ) -> R:
        """Call a group; see `Groups.call`."""
        deadline_unix_ms = self.context.clock().unix_ms + OPERATOR_TIMEOUT_MS
        return await self.context.groups.call(
            group, request, deadline_unix_ms, reply_type
        )
