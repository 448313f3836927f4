"""Tickets that prove the age of an order to the leader."""

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.order_tickets import OrderTickets
from sardinespool.errors.transport import OutdatedOrderError
from sardinespool.messages.manifest import OrderTicket
from sardinespool.messages.manifest import SetEvacuation

TERM = 4
ISSUED_BOOT_MS = 50_000


def at(boot_ms: int) -> Instant:
    return Instant(boot_ms, 1_000_000)


def order_with(ticket: OrderTicket | None, domain: str = "a") -> SetEvacuation:
    return SetEvacuation(
        failure_domain=domain, evacuated=False, ticket=ticket, valid_ms=800
    )


@pytest.mark.parametrize(
    ("term", "age_ms", "accepted"),
    [
        (TERM, 0, True),
        (TERM, 800, True),
        (TERM, 801, False),
        (TERM, 7_800, False),
        (TERM + 1, 0, False),
    ],
)
def test_order_is_accepted_while_its_ticket_holds(
    term: int, age_ms: int, accepted: bool
) -> None:
    """Guards against an order that waited on the link to the leader."""
    tickets = OrderTickets()
    order = order_with(tickets.issue(TERM, at(ISSUED_BOOT_MS)))
    if accepted:
        tickets.accept(order, term, at(ISSUED_BOOT_MS + age_ms))
        return
    with pytest.raises(OutdatedOrderError):
        tickets.accept(order, term, at(ISSUED_BOOT_MS + age_ms))


def test_order_without_a_ticket_is_refused() -> None:
    """Guards against a forwarded order whose age no one knows."""
    with pytest.raises(OutdatedOrderError):
        OrderTickets().accept(order_with(None), TERM, at(ISSUED_BOOT_MS))


@pytest.mark.parametrize(
    ("other_domain", "accepted"), [("a", False), ("b", True)]
)
def test_order_that_was_overtaken_is_refused(
    other_domain: str, accepted: bool
) -> None:
    """Guards against an order that undoes a later one of another member."""
    tickets = OrderTickets()
    now = at(ISSUED_BOOT_MS)
    early, late = tickets.issue(TERM, now), tickets.issue(TERM, now)
    tickets.accept(order_with(late, other_domain), TERM, now)
    if accepted:
        tickets.accept(order_with(early), TERM, now)
        return
    with pytest.raises(OutdatedOrderError):
        tickets.accept(order_with(early), TERM, now)
    tickets.accept(order_with(tickets.issue(TERM, now)), TERM, now)
