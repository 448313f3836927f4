"""Calls from the entry to the replicated groups."""

from collections.abc import Mapping
from typing import Protocol
from typing import TypeVar

from sardinespool.errors.tasks import NoFailureDomainError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request

GLOBAL_GROUP = "global"

R = TypeVar("R")


class GroupCaller(Protocol):
    """Interface of `GroupClient` that the entry uses."""

    async def call(self, request: Request, deadline_unix_ms: int) -> Reply:
        """Return the reply of the group's leader or raise a typed error."""


class Groups:
    """Clients of all groups by name.

    Parameters
    ----------
    clients : Mapping
        Client of the global group and of each failure domain's group.
    """

    def __init__(self, clients: Mapping[str, GroupCaller]) -> None:
        self._clients = dict(clients)

    @property
    def failure_domains(self) -> list[str]:
        """Names of the failure domains, in ascending order."""
        return sorted(set(self._clients) - {GLOBAL_GROUP})

    async def call(
        self,
        group: str,
        request: Request,
        deadline_unix_ms: int,
        reply_type: type[R],
    ) -> R:
        """Call a group and check the type of its reply.

        Raises
        ------
        NoFailureDomainError
            The settings have no group of that name.
        InvalidMessageError
            The reply has an unexpected type.
        SardinespoolError
            The group refused the request or was unreachable.
        """
        client = self._clients.get(group)
        if client is None:
            raise NoFailureDomainError(
                "The settings have no such group.", group=group
            )
        reply = await client.call(request, deadline_unix_ms)
        if not isinstance(reply, reply_type):
            raise InvalidMessageError(
                "The group sent a reply of another type.",
                group=group,
                found=type(reply).__name__,
            )
        return reply
