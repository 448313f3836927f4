"""Client for calls to the leader of a replicated group."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from sardinespool.errors import error_from_code
from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.replication import ReplicationError
from sardinespool.errors.tasks import GangTooLargeError
from sardinespool.errors.tasks import JobStoreFullError
from sardinespool.errors.tasks import OtherWorkspaceError
from sardinespool.errors.tasks import OverloadedError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.errors.tasks import UnknownWorkspaceKeyError
from sardinespool.errors.tasks import UnplaceableJobError
from sardinespool.errors.transport import CallTimeoutError
from sardinespool.errors.transport import ConnectionLostError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import NotReadyError
from sardinespool.errors.transport import OutdatedOrderError
from sardinespool.errors.transport import ServiceFaultError
from sardinespool.errors.transport import UnreachableError
from sardinespool.messages import codec
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Refused
from sardinespool.transport import system_clock
from sardinespool.transport.connector import Connector

ATTEMPT_TIMEOUT_MS = 1_500
RETRY_ROUND_DELAY_MS = 50

ATTEMPT_REFUSALS = (
    ServiceFaultError,
    OutdatedOrderError,
    QueueNotFoundError,
    UnknownWorkspaceKeyError,
    OtherWorkspaceError,
    OverloadedError,
    JobStoreFullError,
    UnplaceableJobError,
    GangTooLargeError,
)
"""Refusals that hold for one attempt only.

An earlier attempt without a reply may have been handled under another manifest
or load and have taken effect.
"""

RETRIED_ERRORS = (
    ReplicationError,
    ConnectionLostError,
    CallTimeoutError,
    NotReadyError,
)
"""Errors of a single member, after which another member is tried.

`NotReadyError` comes from a member that is shutting down.
"""

PrepareRequest = Callable[[bool], Awaitable[Request]]
"""Returns the request of the next attempt, told whether an earlier one may
have taken effect. Raises an error if it must not be sent any more; calls that
it makes itself do not count as attempts."""


class GroupClient:
    """Finds the leader of a group and retries until the deadline.

    Every request is safe to resend, because the group detects duplicates, or
    refuses what has lost its place (`OutdatedOrderError`).

    Parameters
    ----------
    group : str
        Name of the group.
    addresses : mapping of str to str
        ``ip:port`` by the name of each store process of the group.
    connector : Connector
        Connections of this process.
    names_are_addresses : bool
        Whether members are named by their address. A leader that is missing
        in `addresses` can then be called too.
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
        """Name of the member that the next call is sent to."""
        return self._leader

    def add_members(self, names: Iterable[str]) -> None:
        """Add members whose names are their addresses."""
        for name in names:
            self._addresses.setdefault(name, name)
        self._names = sorted(self._addresses)
        self._leader = self._leader or self._names[0]

    def assume_leader(self, name: str) -> None:
        """Send the next call to this member, the presumed leader."""
        self.add_members((name,))
        self._leader = name

    async def call(
        self,
        request: Request,
        deadline_unix_ms: int,
        search_deadline_unix_ms: int | None = None,
    ) -> Reply:
        """Return the reply of the group's leader.

        Parameters
        ----------
        request : Request
            Request, which the group handles once however often it is sent.
        deadline_unix_ms : int
            Time until which to wait for a reply.
        search_deadline_unix_ms : int, optional
            Time until which to look for a leader while no attempt may have
            taken effect; by default the same. With an earlier one, the caller
            learns in time that nothing ran.

        Raises
        ------
        GroupUnavailableError
            No leader replied before the deadlines. ``details['sent']`` tells
            whether an attempt without a reply may still take effect.
        SardinespoolError
            The group refused the request with this error.
        """
        body = codec.encode(request)

        async def encoded_request(sent: bool) -> bytes:
            return body

        return await self._call(
            encoded_request,
            deadline_unix_ms,
            search_deadline_unix_ms,
        )

    async def call_prepared(
        self,
        prepare: PrepareRequest,
        deadline_unix_ms: int,
        search_deadline_unix_ms: int | None = None,
    ) -> Reply:
        """Return the reply to a request that is prepared for each attempt.

        A refusal with `OutdatedOrderError` asks for another attempt. The
        other parameters and errors are those of `call`.

        Parameters
        ----------
        prepare : callable
            Called right before each attempt.
        """

        async def encoded_request(sent: bool) -> bytes:
            return codec.encode(await prepare(sent))

        return await self._call(
            encoded_request,
            deadline_unix_ms,
            search_deadline_unix_ms,
            (OutdatedOrderError,),
        )

    async def _call(
        self,
        encoded_request: Callable[[bool], Awaitable[bytes]],
        deadline_unix_ms: int,
        search_deadline_unix_ms: int | None,
        renewed_errors: tuple[type[SardinespoolError], ...] = (),
    ) -> Reply:
        failed_attempts = 0
        sent = False
        # The remaining time is measured with the boot clock, because the wall
        # clock can jump during the call.
        start = system_clock.now()
        deadline_boot_ms = start.boot_ms + deadline_unix_ms - start.unix_ms
        search_deadline_boot_ms = deadline_boot_ms
        if search_deadline_unix_ms is not None:
            search_deadline_boot_ms -= (
                deadline_unix_ms - search_deadline_unix_ms
            )
        while True:
            now_boot_ms = system_clock.now().boot_ms
            if (
                now_boot_ms >= deadline_boot_ms
                or not self._names
                or (
                    failed_attempts
                    and not sent
                    and now_boot_ms >= search_deadline_boot_ms
                )
            ):
                raise GroupUnavailableError(
                    "No leader of the group answered in time.",
                    group=self._group,
                    sent=sent,
                )
            try:
                body = await encoded_request(sent)
            except SardinespoolError as error:
                if not sent:
                    raise
                raise GroupUnavailableError(
                    "The request could not be sent again.",
                    group=self._group,
                    sent=sent,
                ) from error
            name = self._leader
            try:
                encoded_reply = await self._connector.call(
                    self._addresses[name],
                    self._group,
                    body,
                    deadline_unix_ms,
                    min(
                        deadline_boot_ms - system_clock.now().boot_ms,
                        ATTEMPT_TIMEOUT_MS,
                    ),
                )
                return _decode_reply(encoded_reply)
            except NotLeaderError as error:
                self._select_next_member(
                    name, str(error.details.get("leader", ""))
                )
            except renewed_errors:
                pass
            except ATTEMPT_REFUSALS as error:
                if not sent:
                    raise
                raise GroupUnavailableError(
                    "The group refused the request when it was sent again.",
                    group=self._group,
                    sent=sent,
                ) from error
            except RETRIED_ERRORS as error:
                sent = sent or may_take_effect(error)
                self._select_next_member(name, "")
            failed_attempts += 1
            if failed_attempts % len(self._names) == 0:
                await asyncio.sleep(RETRY_ROUND_DELAY_MS / 1000)

    def _select_next_member(
        self, failed_member: str, leader_hint: str
    ) -> None:
        # A concurrent call may have selected another member already.
        if self._leader != failed_member:
            return
        if leader_hint and self._names_are_addresses:
            self.add_members((leader_hint,))
        if leader_hint in self._addresses and leader_hint != failed_member:
            self._leader = leader_hint
            return
        index = self._names.index(failed_member) + 1
        self._leader = self._names[index % len(self._names)]


def may_take_effect(error: SardinespoolError) -> bool:
    """Return whether a request with this error may still be executed."""
    return isinstance(
        error, ConnectionLostError | CallTimeoutError | ProposalLostError
    ) and not isinstance(error, UnreachableError)


def _decode_reply(encoded_reply: bytes) -> Reply:
    try:
        reply = codec.decode_reply(encoded_reply)
    except InvalidMessageError as invalid:
        # The request was handled, so it must not look refused.
        raise ConnectionLostError("The reply can't be read.") from invalid
    if isinstance(reply, Refused):
        error: SardinespoolError = error_from_code(
            reply.code, reply.text, reply.details
        )
        raise error
    return reply
