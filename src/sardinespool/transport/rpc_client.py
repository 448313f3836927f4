"""Calls to the leader of a group."""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping

from sardinespool.errors import error_from_code
from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.replication import ReplicationError
from sardinespool.errors.transport import CallTimeoutError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.errors.transport import NotReadyError
from sardinespool.errors.transport import UnreachableError
from sardinespool.messages import codec
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Refused
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector

ATTEMPT_TIMEOUT_MS = 1_500
ROUND_DELAY_MS = 50

RETRIED_ERRORS = (
    ReplicationError,
    ConnectionLostError,
    CallTimeoutError,
    NotReadyError,
)
"""Errors of one member; another one may serve the request.

`NotReadyError` comes from a member that is stopping.
"""


class GroupClient:
    """Finds the leader of a group and resends until the deadline.

    Every request is safe to resend: the group recognises a repeat.

    Parameters
    ----------
    group : str
        Name of the group.
    addresses : mapping of str to str
        ``ip:port`` by the name of each store process of the group.
    connector : Connector
        Connections of this process.
    names_are_addresses : bool
        Members are named by their address, so that a leader that
        `addresses` lacks can be followed too.
    """

    def __init__(
        self,
        group: str,
        addresses: Mapping[str, str],
        connector: Connector,
        names_are_addresses: bool = False,
    ) -> None:
        self._names_are_addresses = names_are_addresses
        self._group = group
        self._addresses = dict(addresses)
        self._connector = connector
        self._names = sorted(self._addresses)
        self._leader = self._names[0] if self._names else ""

    @property
    def leader(self) -> str:
        """Name of the member that is called first."""
        return self._leader

    def add_members(self, names: Iterable[str]) -> None:
        """Learn members that are named by their addresses."""
        for name in names:
            self._addresses.setdefault(name, name)
        self._names = sorted(self._addresses)
        self._leader = self._leader or self._names[0]

    def prefer(self, name: str) -> None:
        """Call this member first, which is taken to lead."""
        self.add_members((name,))
        self._leader = name

    async def call(self, request: Request, deadline_unix_ms: int) -> Reply:
        """Return the reply of the group's leader.

        Raises
        ------
        GroupUnavailableError
            No leader answered before the deadline. ``details['sent']`` tells
            whether an unanswered attempt may still take effect.
        SardinespoolError
            The typed refusal of the group.
        """
        body = codec.encode(request)
        failures = 0
        sent = False
        # The rest is measured on the boot clock, since the wall clock can
        # jump during the call.
        start = system_clock.now()
        deadline_boot_ms = start.boot_ms + deadline_unix_ms - start.unix_ms
        while True:
            remaining_ms = deadline_boot_ms - system_clock.now().boot_ms
            if remaining_ms <= 0 or not self._names:
                raise GroupUnavailableError(
                    "No leader of the group answered in time.",
                    group=self._group,
                    sent=sent,
                )
            name = self._leader
            try:
                data = await self._connector.call(
                    self._addresses[name],
                    self._group,
                    body,
                    deadline_unix_ms,
                    min(remaining_ms, ATTEMPT_TIMEOUT_MS),
                )
                return _reply_of(data)
            except NotLeaderError as error:
                self._follow(name, str(error.details.get("leader", "")))
            except RETRIED_ERRORS as error:
                sent = sent or may_take_effect(error)
                self._follow(name, "")
            failures += 1
            if failures % len(self._names) == 0:
                await asyncio.sleep(ROUND_DELAY_MS / 1000)

    def _follow(self, tried: str, hint: str) -> None:
        # Another call may have moved on from the tried member meanwhile.
        if self._leader != tried:
            return
        if hint and self._names_are_addresses:
            self.add_members((hint,))
        if hint in self._addresses and hint != tried:
            self._leader = hint
            return
        index = self._names.index(tried) + 1
        self._leader = self._names[index % len(self._names)]


def may_take_effect(error: SardinespoolError) -> bool:
    """Return whether a request that failed so may still be carried out."""
    return isinstance(
        error, ConnectionLostError | CallTimeoutError | ProposalLostError
    ) and not isinstance(error, UnreachableError)


def _reply_of(data: bytes) -> Reply:
    reply = codec.decode_reply(data)
    if isinstance(reply, Refused):
        error: SardinespoolError = error_from_code(
            reply.code, reply.text, reply.details
        )
        raise error
    return reply
