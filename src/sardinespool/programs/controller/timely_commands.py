"""Commands of callers that are sent only while their callers wait for them."""

from collections.abc import Callable

import msgspec

from sardinespool.clock import Instant
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import OutdatedOrderError
from sardinespool.messages.codec import Reply
from sardinespool.messages.manifest import OrderTicket
from sardinespool.messages.manifest import ReadOrderTicket
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.programs.controller.timely_orders import WaitingCaller
from sardinespool.transport.group_client import GroupClient

JobCommand = SubmitWorkflow | CancelWorkflow


class TimelyCommands:
    """Sends commands under tickets of the leader, see `order_tickets`.

    A ticket serves many commands, as it need not be issued after a command
    was read: the time that the caller still has is counted from the arrival
    of the ticket, and the leader counts it from the issue, which is earlier.

    Parameters
    ----------
    client : GroupClient
        Client of the control group.
    clock : callable
        Returns the current instant.
    """

    def __init__(
        self, client: GroupClient, clock: Callable[[], Instant]
    ) -> None:
        self._client = client
        self._clock = clock
        self._ticket: OrderTicket | None = None
        self._ticket_boot_ms = 0

    def put_ticket(self, ticket: OrderTicket) -> None:
        """Keep a ticket that has just arrived for the next commands."""
        self._ticket = ticket
        self._ticket_boot_ms = self._clock().boot_ms

    async def send(
        self,
        command: JobCommand,
        caller: WaitingCaller,
        search_until_boot_ms: int,
    ) -> Reply:
        """Have a command carried out, or not at all once the caller left.

        Parameters
        ----------
        command : SubmitWorkflow or CancelWorkflow
            The command.
        caller : WaitingCaller
            Its caller.
        search_until_boot_ms : int
            Time until which to look for a leader while no attempt may have
            taken effect.

        Raises
        ------
        OutdatedOrderError
            The caller has moved on; the command was not carried out.
        SardinespoolError
            The group refused the command or did not answer in time.
        """
        attempts = 0

        async def prepare(sent: bool) -> JobCommand:
            nonlocal attempts
            attempts += 1
            self._check_waits(caller)
            if attempts > 1 or self._ticket is None:
                # Another member may lead by now.
                await self._fetch_ticket(
                    caller,
                    caller.until_boot_ms if sent else search_until_boot_ms,
                )
                self._check_waits(caller)
            return msgspec.structs.replace(
                command,
                ticket=self._ticket,
                valid_ms=caller.until_boot_ms - self._ticket_boot_ms,
            )

        self._check_waits(caller)
        return await self._client.call_prepared(
            prepare,
            self._unix_ms(caller.until_boot_ms),
            self._unix_ms(search_until_boot_ms),
        )

    async def _fetch_ticket(
        self, caller: WaitingCaller, search_until_boot_ms: int
    ) -> None:
        try:
            ticket = await self._client.call(
                ReadOrderTicket(),
                self._unix_ms(caller.until_boot_ms),
                self._unix_ms(search_until_boot_ms),
            )
        except GroupUnavailableError as error:
            # Only the command itself could have had an effect.
            raise GroupUnavailableError(
                error.text, **error.details | {"sent": False}
            ) from error
        if not isinstance(ticket, OrderTicket):
            raise InvalidMessageError(
                "The reply to a request for a ticket has another type.",
                reply=type(ticket).__name__,
            )
        self.put_ticket(ticket)

    def _check_waits(self, caller: WaitingCaller) -> None:
        now_boot_ms = self._clock().boot_ms
        if caller.has_left() or now_boot_ms >= caller.until_boot_ms:
            raise OutdatedOrderError(
                "The caller has moved on.",
                age_ms=now_boot_ms - caller.since_boot_ms,
                age_max_ms=caller.until_boot_ms - caller.since_boot_ms,
            )

    def _unix_ms(self, boot_ms: int) -> int:
        now = self._clock()
        return now.unix_ms + boot_ms - now.boot_ms
