"""Life cycle of a group's service on the group's leader."""

import asyncio

from sardinespool.clock import Instant
from sardinespool.groups.interfaces import GroupService
from sardinespool.messages.codec import Reply
from sardinespool.messages.commands import CommandBody
from sardinespool.observability.logs import get_logger
from sardinespool.programs.store.fault_barrier import log_fault

RESTART_INTERVAL_MS = 1_000
"""Shortest time between two restarts after errors; a restart loads the whole
state again."""

_LOG = get_logger("store")


class LeaderService:
    """Starts the service once per term in which this member leads.

    While the lease has lapsed within the term, the service keeps its state
    and is told of applied commands, but serves no requests: no other member
    has led meanwhile, and commands that it proposed can still be applied.

    An unexpected error in the service is logged. Its volatile state may be
    inconsistent then, so the service is started again from the replicated
    state; the process and the calls of others go on.

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
        self._faulty = False
        self._restart_due_boot_ms = 0

    @property
    def running(self) -> bool:
        """Whether the service has been started in this term."""
        return self._running

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
            self._faulty = False
            self._service.step_down()
        return True

    def update_lease(self, valid: bool, now: Instant) -> None:
        """Start, pause or resume the service."""
        if not valid:
            self._pause()
            return
        if not self._running:
            self._running = True
            self._start(now)
        elif self._faulty and now.boot_ms >= self._restart_due_boot_ms:
            self._restart(now)
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
        if self._running and term == self._led_term and not self._faulty:
            try:
                self._service.on_applied(body, result, now)
            except Exception:
                self._record_fault("applied", type(body).__name__)

    def tick(self, now: Instant) -> list[CommandBody]:
        """Return the commands that the service proposes."""
        if self._faulty:
            return []
        try:
            return self._service.tick(now)
        except Exception:
            self._record_fault("tick", "")
            return []

    def on_encoding_failed(self, command: str) -> None:
        """Schedule a restart after a command that can't be encoded.

        Called in the exception handler. Without a restart, the service would
        propose the same command forever.
        """
        self._record_fault("encode", command)

    def _record_fault(self, event: str, command: str) -> None:
        self._faulty = True
        log_fault(self._group, event, command)

    def _start(self, now: Instant) -> None:
        try:
            self._service.become_leader(now)
        except Exception:
            self._record_fault("start", "")

    def _restart(self, now: Instant) -> None:
        self._faulty = False
        self._restart_due_boot_ms = now.boot_ms + RESTART_INTERVAL_MS
        self._service.step_down()
        self._start(now)
        _LOG.info("service restarted", group=self._group)

    def _pause(self) -> None:
        if self.serving:
            self.serving = False
            self.not_serving.set()
            _LOG.info(
                "no longer serving", group=self._group, term=self._led_term
            )
