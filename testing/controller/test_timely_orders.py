"""Orders that wait in a process or on a link while later ones are sent."""

import asyncio
from collections.abc import Callable

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.order_tickets import OrderTickets
from sardinespool.errors.transport import OutdatedOrderError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import ReadOrderTicket
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.tasks import Accepted
from sardinespool.programs.controller.timely_orders import TimelyOrders
from sardinespool.programs.controller.timely_orders import WaitingCaller

CALLER_WAITS_MS = 900
LEADER_CLOCK_OFFSET_MS = 7_000_000
START = SetEvacuation(failure_domain="a", evacuated=True)
FINISH = SetEvacuation(failure_domain="a", evacuated=False)


class Group:
    """A leader, and the links of its members to it.

    Attributes
    ----------
    on_request, on_ticket, on_order : callable
        Called when the request for a ticket leaves the member, when the reply
        to it arrives there, and when the order leaves it.
    """

    def __init__(self) -> None:
        self.now_ms = 1_000
        self.term = 1
        self.evacuated: list[bool] = []
        self.on_request: Callable[[], None] = lambda: None
        self.on_ticket: Callable[[], None] = lambda: None
        self.on_order: Callable[[], None] = lambda: None
        self._tickets = OrderTickets()
        self.orders = TimelyOrders(self._call, self.clock)

    def clock(self) -> Instant:
        return Instant(self.now_ms, 0)

    def wait(self, duration_ms: int) -> None:
        self.now_ms += duration_ms

    def caller(self, left: bool = False) -> WaitingCaller:
        return WaitingCaller(
            self.now_ms, self.now_ms + CALLER_WAITS_MS, lambda: left
        )

    async def _call(self, request: Request, timeout_ms: int) -> Reply:
        assert timeout_ms > 0
        if isinstance(request, ReadOrderTicket):
            self.on_request()
            ticket = self._tickets.issue(self.term, self._leader_clock())
            self.on_ticket()
            return ticket
        assert isinstance(request, SetEvacuation)
        self.on_order()
        self._tickets.accept(request, self.term, self._leader_clock())
        self.evacuated.append(request.evacuated)
        return Accepted()

    def _leader_clock(self) -> Instant:
        return Instant(self.now_ms + LEADER_CLOCK_OFFSET_MS, 0)


def send_later_orders(group: Group) -> None:
    """Let the operator end and start the evacuation at another member."""
    for order in (FINISH, START):
        ticket = group._tickets.issue(group.term, group._leader_clock())
        group._tickets.accept(
            SetEvacuation(
                failure_domain="a",
                evacuated=order.evacuated,
                ticket=ticket,
                valid_ms=CALLER_WAITS_MS,
            ),
            group.term,
            group._leader_clock(),
        )
        group.evacuated.append(order.evacuated)


def stand_still(group: Group) -> None:
    """Let 7.8 s pass, in which the operator sends its later orders."""
    group.wait(7_800)
    send_later_orders(group)


def change_leader(group: Group) -> None:
    """Let the next leader take later orders."""
    group.term += 1
    send_later_orders(group)


@pytest.mark.parametrize(
    "event", [stand_still, send_later_orders, change_leader]
)
@pytest.mark.parametrize("moment", ["on_ticket", "on_order"])
def test_order_that_was_overtaken_is_not_carried_out(
    moment: str, event: Callable[[Group], None]
) -> None:
    """Guards against an old end of an evacuation that undoes a later one.

    The member or the leader stands still, the link between them is cut, or
    the leader changes.
    """
    group = Group()
    setattr(group, moment, lambda: event(group))
    with pytest.raises(OutdatedOrderError):
        asyncio.run(group.orders.send(FINISH, group.caller()))
    assert group.evacuated == [False, True]


def test_order_that_waited_before_its_ticket_is_not_carried_out() -> None:
    """Guards against the order that a member reads when it wakes.

    The request for the ticket is the first that it does.
    """
    for moment in ("read", "on_request"):
        group = Group()
        caller = group.caller()
        if moment == "read":
            stand_still(group)
        else:
            group.on_request = lambda group=group: stand_still(group)
        with pytest.raises(OutdatedOrderError):
            asyncio.run(group.orders.send(FINISH, caller))
        assert group.evacuated == [False, True]


@pytest.mark.parametrize("moment", ["read", "on_ticket"])
def test_order_of_a_caller_that_left_is_not_carried_out(moment: str) -> None:
    """Guards against an order that waited on the link from its caller."""
    group = Group()
    left = [moment == "read"]
    group.on_ticket = lambda: left.__setitem__(0, True)
    caller = WaitingCaller(
        group.now_ms, group.now_ms + CALLER_WAITS_MS, lambda: left[0]
    )
    with pytest.raises(OutdatedOrderError):
        asyncio.run(group.orders.send(FINISH, caller))
    assert group.evacuated == []


@pytest.mark.parametrize("delay_ms", [0, 200, 300])
def test_order_in_time_is_carried_out(delay_ms: int) -> None:
    """Guards against refusals of orders whose callers still wait."""
    group = Group()
    group.on_ticket = group.on_order = lambda: group.wait(delay_ms)
    asyncio.run(group.orders.send(START, group.caller()))
    asyncio.run(group.orders.send(START, group.caller()))
    assert group.evacuated == [True, True]
