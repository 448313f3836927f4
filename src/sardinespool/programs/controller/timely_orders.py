"""Orders that are forwarded only while their callers wait for them."""

import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec

from sardinespool.clock import Instant
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import OutdatedOrderError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import OrderTicket
from sardinespool.messages.manifest import ReadOrderTicket
from sardinespool.messages.manifest import SetEvacuation


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCaller:
    """The caller of an order.

    Attributes
    ----------
    since_boot_ms : int
        Time after which the first byte of the order arrived.
    until_boot_ms : int
        Time from which the caller may have moved on to another member.
    has_left : callable
        Whether the caller has closed its connection.
    """

    since_boot_ms: int
    until_boot_ms: int
    has_left: Callable[[], bool]


class TimelyOrders:
    """Sends orders to the leader under a ticket, see `order_tickets`.

    Parameters
    ----------
    call : callable
        Calls the control group with a timeout in milliseconds.
    clock : callable
        Returns the current instant.
    """

    def __init__(
        self,
        call: Callable[[Request, int], Awaitable[Reply]],
        clock: Callable[[], Instant],
    ) -> None:
        self._call = call
        self._clock = clock

    async def send(self, order: SetEvacuation, caller: WaitingCaller) -> Reply:
        """Have an order carried out, or not at all once the caller left.

        Raises
        ------
        OutdatedOrderError
            The caller has moved on, or another order came in between; the
            order was not carried out.
        SardinespoolError
            The group refused the order or did not answer in time.
        """
        ticket = await self._call(
            ReadOrderTicket(), self._remaining_ms(order, caller)
        )
        if not isinstance(ticket, OrderTicket):
            raise InvalidMessageError(
                "The reply to a request for a ticket has another type.",
                reply=type(ticket).__name__,
            )
        # This process may have stood still since it sent the request.
        valid_ms = self._remaining_ms(order, caller)
        return await self._call(
            msgspec.structs.replace(order, ticket=ticket, valid_ms=valid_ms),
            valid_ms,
        )

    def _remaining_ms(
        self, order: SetEvacuation, caller: WaitingCaller
    ) -> int:
        now_boot_ms = self._clock().boot_ms
        if caller.has_left() or now_boot_ms >= caller.until_boot_ms:
            raise OutdatedOrderError(
                "The caller of the order has moved on.",
                failure_domain=order.failure_domain,
                age_ms=now_boot_ms - caller.since_boot_ms,
                age_max_ms=caller.until_boot_ms - caller.since_boot_ms,
            )
        return caller.until_boot_ms - now_boot_ms
