"""Life cycle of a group's service on the group's leader."""

import asyncio

from sardinespool.clock import Instant
from sardinespool.groups.interfaces import GroupService
from sardinespool.messages.codec import Reply
from sardinespool.messages.commands import CommandBody
from sardinespool.observability.logs import get_logger

_LOG = get_logger("store")


class LeaderService:
    """Starts the service once per term in which this member leads.

    While the lease has lapsed within the term, the service keeps its state
    and is told of applied commands, but serves no requests: no other member
    has led meanwhile, and commands that it proposed can still be applied.

    Parameters
    ----------
    group : str
        Name of the group.
    service : GroupService
        Service to start and stop.

    Attributes
    ----------
    serving : bool
        Whether the service runs and the lease was valid at the last update.
    not_serving : asyncio.Event
        Set while `serving` is false.
    """

    def __init__(self, group: str, service: GroupService) -> None:
        self.serving = False
        self.not_serving = asyncio.Event()
        self.not_serving.set()
        self._group = group
        self._service = service
        self._led_term = 0
        self._running = False

    def lead(self, term: int) -> bool:
        """Set the term that this member leads, 0 if none.

        Returns whether it changed; the service is then stopped.
        """
        if term == self._led_term:
            return False
        self._pause()
        self._led_term = term
        if self._running:
            self._running = False
            self._service.step_down()
        return True

    def update_lease(self, valid: bool, now: Instant) -> None:
        """Start, pause or resume the service."""
        if not valid:
            self._pause()
            return
        if not self._running:
            self._running = True
            self._service.become_leader(now)
        if not self.serving:
            self.serving = True
            self.not_serving.clear()
            _LOG.info("serving", group=self._group, term=self._led_term)

    def on_applied(
        self, term: int, body: CommandBody, result: Reply, now: Instant
    ) -> None:
        """Pass on an applied command of the given term, unless stopped.

        Commands of other terms are part of the state that the service
        starts from.
        """
        if self._running and term == self._led_term:
            self._service.on_applied(body, result, now)

    def _pause(self) -> None:
        if self.serving:
            self.serving = False
            self.not_serving.set()
            _LOG.info(
                "no longer serving", group=self._group, term=self._led_term
            )
