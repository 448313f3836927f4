"""Proof that an order is carried out while its caller waits for it.

An order whose content does not tell whether a later one has overtaken it can
wait for seconds in the socket of a process that stands still, or on the link
to the leader. Its caller has moved on by then, and may have sent a later one.
The clocks of two hosts can't be compared, so the leader measures the age of an
order by its own clock, from a ticket that it issued before the order was sent.
For an evacuation, the forwarding member requests it after it had read the
order, so that it also tells which orders came in between.
"""

from sardinespool.clock import Instant
from sardinespool.errors.transport import OutdatedOrderError
from sardinespool.messages.manifest import OrderTicket
from sardinespool.messages.manifest import SetEvacuation

TICKET_AGE_MAX_MS = 10_000
"""Age from which a ticket is void; a command has 3 s, and members fetch a
ticket for it at any time."""


class OrderTickets:
    """Issues tickets on the leader and checks the orders that carry them."""

    def __init__(self) -> None:
        self._sequence = 0
        self._latest_by_domain: dict[str, int] = {}
        self._submitted_boot_ms: dict[str, int] = {}

    def issue(self, term: int, now: Instant) -> OrderTicket:
        """Return a ticket for an order that the caller waits for now."""
        return OrderTicket(
            term=term, sequence=self._sequence, issued_boot_ms=now.boot_ms
        )

    def check(
        self,
        ticket: OrderTicket | None,
        valid_ms: int,
        term: int,
        now: Instant,
    ) -> OrderTicket:
        """Return a ticket that holds, whatever came after its issue.

        Parameters
        ----------
        ticket : OrderTicket or None
            Ticket of the order.
        valid_ms : int
            Age of the ticket up to which the order may be carried out.
        term : int
            Term of the leader.
        now : Instant
            Current time.

        Raises
        ------
        OutdatedOrderError
            The ticket is not of this leadership or has expired.
        """
        if ticket is None or ticket.term != term:
            raise OutdatedOrderError("The order has no ticket of this leader.")
        age_ms = now.boot_ms - ticket.issued_boot_ms
        if age_ms > min(valid_ms, TICKET_AGE_MAX_MS):
            raise OutdatedOrderError(
                "The order arrived after its caller had moved on.",
                age_ms=age_ms,
                age_max_ms=valid_ms,
            )
        return ticket

    def note_submission(self, job_id: str, now: Instant) -> None:
        """Make the tickets issued until now void for a cancel of the job."""
        submitted = self._submitted_boot_ms
        submitted.pop(job_id, None)
        submitted[job_id] = now.boot_ms
        while now.boot_ms - next(iter(submitted.values())) > TICKET_AGE_MAX_MS:
            del submitted[next(iter(submitted))]

    def check_cancel(self, job_id: str, ticket: OrderTicket) -> None:
        """Raise `OutdatedOrderError` if a submission came in between.

        A cancel that waited on a link may come after its caller gave it up
        and submitted the job again.
        """
        submitted_boot_ms = self._submitted_boot_ms.get(job_id)
        if (
            submitted_boot_ms is not None
            and ticket.issued_boot_ms <= submitted_boot_ms
        ):
            raise OutdatedOrderError(
                "A submission of the job came in between.", job=job_id
            )

    def accept(self, order: SetEvacuation, term: int, now: Instant) -> None:
        """Accept an order, which makes earlier tickets for it void.

        Raises
        ------
        OutdatedOrderError
            The ticket is not of this leadership or has expired, or another
            order for the failure domain was accepted after its issue.
        """
        ticket = self.check(order.ticket, order.valid_ms, term, now)
        if self._latest_by_domain.get(order.failure_domain, 0) > (
            ticket.sequence
        ):
            raise OutdatedOrderError(
                "Another order for the failure domain came in between.",
                failure_domain=order.failure_domain,
            )
        self._sequence += 1
        self._latest_by_domain[order.failure_domain] = self._sequence
