"""Assignment of endpoint slots to requests, with queueing."""

import random

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.requests import DeadlineUnreachableError
from sardinespool.errors.requests import NoEndpointError
from sardinespool.errors.requests import QueueFullError
from sardinespool.routing import outliers
from sardinespool.routing.admission import check_admission
from sardinespool.routing.endpoint_choice import choose_endpoint
from sardinespool.routing.endpoint_state import EndpointState
from sardinespool.routing.endpoint_state import REFUSAL_BACKOFF_MS
from sardinespool.routing.endpoint_table import EndpointTable
from sardinespool.routing.fair_queue import FairQueue
from sardinespool.routing.fair_queue import QueuedRequest
from sardinespool.routing.latency import DecayedMean
from sardinespool.routing.router_events import EndpointsChanged
from sardinespool.routing.router_events import RouterEffect
from sardinespool.routing.router_events import RouterEvent
from sardinespool.routing.router_events import SlotAssigned
from sardinespool.routing.router_events import SlotRefused
from sardinespool.routing.router_events import SlotReleased
from sardinespool.routing.router_events import SlotRequested
from sardinespool.routing.router_events import SlotResult
from sardinespool.routing.router_events import SlotWithdrawn
from sardinespool.routing.router_events import Tick
from sardinespool.routing.router_events import ViewReceived


class Router:
    """Assigns endpoint slots to requests; a state machine without I/O.

    Parameters
    ----------
    entry_count : int
        Number of entries in the failure domain.
    queue_length : int
        Maximum number of queued requests of one service.
    seed : int
        Seed of the random endpoint choice.
    """

    def __init__(self, entry_count: int, queue_length: int, seed: int) -> None:
        self.table = EndpointTable(entry_count)
        self._queue_length = queue_length
        self._generator = random.Random(seed)
        self._queues: dict[str, FairQueue] = {}
        self._waiting: dict[str, QueuedRequest] = {}
        self._assignments: dict[str, tuple[EndpointState, str]] = {}
        self._mean_service_ms: dict[str, DecayedMean] = {}

    def handle(self, event: RouterEvent, now: Instant) -> list[RouterEffect]:
        """Process one event and return the resulting effects."""
        effects: list[RouterEffect] = []
        match event:
            case SlotRequested(waiting):
                self._admit(waiting, now, effects)
            case SlotWithdrawn(ticket):
                self._withdraw(ticket)
            case SlotReleased(ticket, use, latency_ms):
                self._release_slot(ticket, use, latency_ms, now)
            case ViewReceived(view):
                self.table.apply(view, now)
                if view.endpoints is not None:
                    effects.append(EndpointsChanged(self.table.addresses()))
            case Tick():
                self._refuse_overdue(now, effects)
        self._dispatch(now, effects)
        return effects

    def queued(self) -> int:
        """Return the number of queued requests of all services."""
        return len(self._waiting)

    def queued_by_service(self) -> dict[str, int]:
        """Return the number of queued requests by service, if not 0."""
        return {
            service: len(queue)
            for service, queue in self._queues.items()
            if len(queue)
        }

    def in_progress(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._assignments)

    def has_endpoint(self, service: str, now: Instant) -> bool:
        """Return whether requests for the service can be sent or queued."""
        return self.table.has_endpoint(service, now)

    def mean_service_ms(self, service: str) -> float:
        """Return the recent mean service time, 0 before the first answer."""
        mean = self._mean_service_ms.get(service)
        return 0.0 if mean is None else mean.value()

    def _admit(
        self, waiting: QueuedRequest, now: Instant, effects: list[RouterEffect]
    ) -> None:
        queue = self._queues.setdefault(
            waiting.service, FairQueue(self._queue_length)
        )
        try:
            check_admission(
                waiting,
                queue,
                self.table,
                self.mean_service_ms(waiting.service),
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

    def _release_slot(
        self, ticket: str, use: SlotResult, latency_ms: float, now: Instant
    ) -> None:
        assignment = self._assignments.pop(ticket, None)
        if assignment is None:
            return
        state, service = assignment
        state.release_slot()
        tail_updated = False
        match use:
            case SlotResult.ANSWERED:
                state.consecutive_failures = 0
                state.latency.add(latency_ms, now.boot_ms)
                tail_updated = state.tail.add(latency_ms)
                self._mean_service_ms.setdefault(service, DecayedMean()).add(
                    latency_ms, now.boot_ms
                )
            case SlotResult.FAILED:
                state.consecutive_failures += 1
            case SlotResult.UNREACHABLE:
                # A crashed endpoint stays in the table until its lease ends.
                # The pause is not subject to the limit on ejections, which
                # could keep such an endpoint in use.
                state.refused_until_boot_ms = now.boot_ms + REFUSAL_BACKOFF_MS
            case SlotResult.REFUSED:
                # While the group is reachable its table decides, so a short
                # pause is enough. Otherwise the refusal holds until the next
                # view.
                if self.table.is_group_reachable(now):
                    state.refused_until_boot_ms = (
                        now.boot_ms + REFUSAL_BACKOFF_MS
                    )
                else:
                    state.refused_until_next_view = True
            case SlotResult.UNUSED:
                return
        peers = self.table.endpoints_for(service)
        is_outlier = (
            state.consecutive_failures >= outliers.CONSECUTIVE_FAILURES_LIMIT
            or (tail_updated and outliers.has_outlying_tail(state, peers))
        )
        if (
            is_outlier
            and not state.is_ejected(now)
            and outliers.may_eject(peers, now)
        ):
            outliers.eject(state, now)

    def _refuse_overdue(
        self, now: Instant, effects: list[RouterEffect]
    ) -> None:
        """Refuse queued requests that can no longer meet their deadline."""
        for waiting in list(self._waiting.values()):
            error = self._queue_refusal(waiting, now)
            if error is not None:
                self._withdraw(waiting.ticket)
                effects.append(SlotRefused(waiting.ticket, error))

    def _queue_refusal(
        self, waiting: QueuedRequest, now: Instant
    ) -> SardinespoolError | None:
        needed_ms = self.mean_service_ms(waiting.service)
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
        """Assign free slots to queued requests, latency-critical first."""
        if not self._waiting:
            return
        services = sorted(
            (name for name, queue in self._queues.items() if len(queue)),
            key=self._is_batch,
        )
        for service in services:
            queue = self._queues[service]
            while (waiting := queue.peek()) is not None:
                if self._try_assign(waiting, queue, now, effects):
                    continue
                # A retry may be waiting for an endpoint that it has not tried
                # yet; the free slots can serve other requests meanwhile.
                untried = (
                    queue.first_new_request() if waiting.excluded else None
                )
                if untried is None or not self._try_assign(
                    untried, queue, now, effects
                ):
                    break

    def _try_assign(
        self,
        waiting: QueuedRequest,
        queue: FairQueue,
        now: Instant,
        effects: list[RouterEffect],
    ) -> bool:
        """Assign or refuse a request; return False if it stays queued."""
        error = self._queue_refusal(waiting, now)
        if error is not None:
            self._withdraw(waiting.ticket)
            effects.append(SlotRefused(waiting.ticket, error))
            return True
        if not self._assign(waiting, now, effects):
            return False
        queue.dequeue(waiting)
        del self._waiting[waiting.ticket]
        return True

    def _is_batch(self, service: str) -> bool:
        policy = self.table.policies.get(service)
        return policy is not None and not policy.latency_critical

    def _assign(
        self, waiting: QueuedRequest, now: Instant, effects: list[RouterEffect]
    ) -> bool:
        state = choose_endpoint(
            self.table.endpoints_for(waiting.service),
            waiting.excluded,
            now,
            self._generator,
        )
        if state is None:
            return False
        state.acquire_slot()
        self._assignments[waiting.ticket] = (state, waiting.service)
        effects.append(
            SlotAssigned(
                ticket=waiting.ticket,
                worker_id=state.endpoint.worker_id,
                address=state.endpoint.address,
                connection_limit=state.connection_limit,
                expected_ms=self.mean_service_ms(waiting.service),
            )
        )
        return True
