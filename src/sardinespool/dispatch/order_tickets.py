"""Proof that an order is carried out while its caller waits for it.

An order whose content does not tell whether a later one has overtaken it can
wait for seconds in the socket of a process that stands still, or on the link
to the leader. Its caller has moved on by then, and may have sent a later one.
The clocks of two hosts can't be compared, so the leader measures the age of an
order by its own clock, from a ticket that the forwarding member requested
after it had read the order.
"""

from sardinespool.clock import Instant
from sardinespool.errors.transport import OutdatedOrderError
from sardinespool.messages.manifest import OrderTicket
from sardinespool.messages.manifest import SetEvacuation


class OrderTickets:
    """Issues tickets on the leader and checks the orders that carry them."""

    def __init__(self) -> None:
        self._sequence = 0
        self._latest_by_domain: dict[str, int] = {}

    def issue(self, term: int, now: Instant) -> OrderTicket:
        """Return a ticket for an order that the caller waits for now."""
        return OrderTicket(
            term=term, sequence=self._sequence, issued_boot_ms=now.boot_ms
        )

    def accept(self, order: SetEvacuation, term: int, now: Instant) -> None:
        """Accept an order, which makes earlier tickets for it void.

        Raises
        ------
        OutdatedOrderError
            The ticket is not of this leadership or has expired, or another
            order for the failure domain was accepted after its issue.
        """
        ticket = order.ticket
        if ticket is None or ticket.term != term:
            raise OutdatedOrderError(
                "The order has no ticket of this leader.",
                failure_domain=order.failure_domain,
            )
        age_ms = now.boot_ms - ticket.issued_boot_ms
        if age_ms > order.valid_ms:
            raise OutdatedOrderError(
                "The order arrived after its caller had moved on.",
                failure_domain=order.failure_domain,
                age_ms=age_ms,
                age_max_ms=order.valid_ms,
            )
        if self._latest_by_domain.get(order.failure_domain, 0) > (
            ticket.sequence
        ):
            raise OutdatedOrderError(
                "Another order for the failure domain came in between.",
                failure_domain=order.failure_domain,
            )
        self._sequence += 1
        self._latest_by_domain[order.failure_domain] = self._sequence
