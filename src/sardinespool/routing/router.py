"""Slots of the failure domain's endpoints and the requests that wait."""

import random

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.requests import DeadlineUnreachableError
from sardinespool.errors.requests import NoEndpointError
from sardinespool.errors.requests import QueueFullError
from sardinespool.routing import outliers
from sardinespool.routing.admission import check_reachable
from sardinespool.routing.endpoint_choice import choose_endpoint
from sardinespool.routing.endpoint_state import EndpointState
from sardinespool.routing.endpoint_state import REFUSAL_PAUSE_MS
from sardinespool.routing.endpoint_table import EndpointTable
from sardinespool.routing.fair_queue import FairQueue
from sardinespool.routing.fair_queue import Waiting
from sardinespool.routing.latency import DecayedMean
from sardinespool.routing.router_events import EndpointsChanged
from sardinespool.routing.router_events import RouterEffect
from sardinespool.routing.router_events import RouterEvent
from sardinespool.routing.router_events import SlotAssigned
from sardinespool.routing.router_events import SlotRefused
from sardinespool.routing.router_events import SlotReturned
from sardinespool.routing.router_events import SlotUse
from sardinespool.routing.router_events import SlotWanted
from sardinespool.routing.router_events import SlotWithdrawn
from sardinespool.routing.router_events import Tick
from sardinespool.routing.router_events import ViewReceived


class Router:
    """Assigns slots; a pure state machine.

    Parameters
    ----------
    entry_count : int
        Number of entries of the failure domain.
    queue_length : int
        Largest number of waiting requests of one service.
    seed : int
        Seed of the endpoint draws.
    """

    def __init__(self, entry_count: int, queue_length: int, seed: int) -> None:
        self.table = EndpointTable(entry_count)
        self._queue_length = queue_length
        self._generator = random.Random(seed)
        self._queues: dict[str, FairQueue] = {}
        self._waiting: dict[str, Waiting] = {}
        self._held: dict[str, tuple[EndpointState, str]] = {}
        self._service_ms: dict[str, DecayedMean] = {}

    def handle(self, event: RouterEvent, now: Instant) -> list[RouterEffect]:
        """Take one event and return what follows from it."""
        effects: list[RouterEffect] = []
        match event:
            case SlotWanted(waiting):
                self._admit(waiting, now, effects)
            case SlotWithdrawn(ticket):
                self._withdraw(ticket)
            case SlotReturned(ticket, use, latency_ms):
                self._return_slot(ticket, use, latency_ms, now)
            case ViewReceived(view):
                self.table.apply(view, now)
                if view.endpoints is not None:
                    effects.append(EndpointsChanged(self.table.addresses()))
            case Tick():
                self._refuse_overdue(now, effects)
        self._dispatch(now, effects)
        return effects

    def queued(self) -> int:
        """Return the number of waiting requests of all services."""
        return len(self._waiting)

    def queued_by_service(self) -> dict[str, int]:
        """Return the number of waiting requests of each service with any."""
        return {
            service: len(queue)
            for service, queue in self._queues.items()
            if len(queue)
        }

    def in_progress(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._held)

    def has_endpoint(self, service: str, now: Instant) -> bool:
        """Tell whether requests for the service may be sent or wait."""
        return self.table.has_endpoint(service, now)

    def service_ms(self, service: str) -> float:
        """Return the recent mean service time, 0 before any answer."""
        mean = self._service_ms.get(service)
        return 0.0 if mean is None else mean.value()

    def _admit(
        self, waiting: Waiting, now: Instant, effects: list[RouterEffect]
    ) -> None:
        queue = self._queues.setdefault(
            waiting.service, FairQueue(self._queue_length)
        )
        try:
            check_reachable(
                waiting,
                queue,
                self.table,
                self.service_ms(waiting.service),
                now,
            )
        except SardinespoolError as error:
            effects.append(SlotRefused(waiting.ticket, error))
            return
        if not len(queue) and self._assign(waiting, now, effects):
            return
        self._waiting[waiting.ticket] = waiting
        displaced = queue.push(waiting)
        if displaced is not None:
            del self._waiting[displaced.ticket]
            full = QueueFullError(
                "The queue of the service is full.",
                service=displaced.service,
                limit=self._queue_length,
            )
            effects.append(SlotRefused(displaced.ticket, full))

    def _withdraw(self, ticket: str) -> None:
        waiting = self._waiting.pop(ticket, None)
        if waiting is not None:
            self._queues[waiting.service].remove(waiting)

    def _return_slot(
        self, ticket: str, use: SlotUse, latency_ms: float, now: Instant
    ) -> None:
        held = self._held.pop(ticket, None)
        if held is None:
            return
        state, service = held
        state.return_slot()
        new_tail = False
        match use:
            case SlotUse.ANSWERED:
                state.consecutive_failures = 0
                state.latency.add(latency_ms, now.boot_ms)
                new_tail = state.tail.add(latency_ms)
                self._service_ms.setdefault(service, DecayedMean()).add(
                    latency_ms, now.boot_ms
                )
            case SlotUse.FAILED:
                state.consecutive_failures += 1
            case SlotUse.UNREACHABLE:
                # A crashed endpoint stays in the table until its lease ends,
                # and the cap on outliers must not keep it in use.
                state.refused_until_boot_ms = now.boot_ms + REFUSAL_PAUSE_MS
            case SlotUse.REFUSED:
                # The group's table is the authority while it can be reached;
                # without it, the endpoint's own word counts until the next
                # view.
                if self.table.in_contact(now):
                    state.refused_until_boot_ms = (
                        now.boot_ms + REFUSAL_PAUSE_MS
                    )
                else:
                    state.refused_until_next_view = True
            case SlotUse.UNUSED:
                return
        peers = self.table.of_service(service)
        outlying = (
            state.consecutive_failures >= outliers.FAILURES_IN_A_ROW
            or (new_tail and outliers.has_outlying_tail(state, peers))
        )
        if (
            outlying
            and not state.is_set_aside(now)
            and outliers.may_set_aside(peers, now)
        ):
            outliers.set_aside(state, now)

    def _refuse_overdue(
        self, now: Instant, effects: list[RouterEffect]
    ) -> None:
        """Refuse waiting requests that can no longer be answered in time."""
        for waiting in list(self._waiting.values()):
            error = self._overdue_error(waiting, now)
            if error is not None:
                self._withdraw(waiting.ticket)
                effects.append(SlotRefused(waiting.ticket, error))

    def _overdue_error(
        self, waiting: Waiting, now: Instant
    ) -> SardinespoolError | None:
        needed_ms = self.service_ms(waiting.service)
        if now.unix_ms + needed_ms >= waiting.deadline_unix_ms:
            return DeadlineUnreachableError(
                "No slot became free before the deadline.",
                deadline_unix_ms=waiting.deadline_unix_ms,
            )
        if not self.has_endpoint(waiting.service, now):
            return NoEndpointError(
                "The last endpoint of the service left.",
                service=waiting.service,
            )
        return None

    def _dispatch(self, now: Instant, effects: list[RouterEffect]) -> None:
        """Give free slots to waiting requests, latency-critical first."""
        if not self._waiting:
            return
        services = sorted(
            (name for name, queue in self._queues.items() if len(queue)),
            key=self._is_batch,
        )
        for service in services:
            queue = self._queues[service]
            while (waiting := queue.peek()) is not None:
                if self._try_waiting(waiting, queue, now, effects):
                    continue
                # A retry may wait for an endpoint that it has not tried,
                # while the slots that are free can serve other requests.
                untried = queue.first_untried() if waiting.excluded else None
                if untried is None or not self._try_waiting(
                    untried, queue, now, effects
                ):
                    break

    def _try_waiting(
        self,
        waiting: Waiting,
        queue: FairQueue,
        now: Instant,
        effects: list[RouterEffect],
    ) -> bool:
        """Return False if the request has to wait on."""
        error = self._overdue_error(waiting, now)
        if error is not None:
            self._withdraw(waiting.ticket)
            effects.append(SlotRefused(waiting.ticket, error))
            return True
        if not self._assign(waiting, now, effects):
            return False
        queue.take(waiting)
        del self._waiting[waiting.ticket]
        return True

    def _is_batch(self, service: str) -> bool:
        policy = self.table.policies.get(service)
        return policy is not None and not policy.latency_critical

    def _assign(
        self, waiting: Waiting, now: Instant, effects: list[RouterEffect]
    ) -> bool:
        state = choose_endpoint(
            self.table.of_service(waiting.service),
            waiting.excluded,
            now,
            self._generator,
        )
        if state is None:
            return False
        state.take_slot()
        self._held[waiting.ticket] = (state, waiting.service)
        effects.append(
            SlotAssigned(
                ticket=waiting.ticket,
                worker_id=state.endpoint.worker_id,
                address=state.endpoint.address,
                connection_limit=state.connection_limit,
                expected_ms=self.service_ms(waiting.service),
            )
        )
        return True
