"""Simulated endpoint: slots that serve requests in order of arrival."""

import dataclasses
import heapq
import random
from collections.abc import Callable

from bench.routing_fakes.loop import VirtualLoop
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.requests import StoredResponse
from sardinespool.routing.request_events import Answered
from sardinespool.routing.request_events import Lost
from sardinespool.routing.request_events import SendResult

_ANSWERED = Answered(StoredResponse(status=200, headers=(), body=b""))
_UNAVAILABLE = Answered(StoredResponse(status=503, headers=(), body=b""))
_RESET = Lost("the connection was reset")


@dataclasses.dataclass(frozen=True, slots=True)
class FaultPhase:
    """Fault of an endpoint between two times.

    `kind` is ``slow`` (service times are multiplied by `factor`), ``reset``
    or ``unavailable`` (a share `factor` of the requests fails after 1 ms) or
    ``hang`` (requests are never answered).
    """

    from_ms: float
    until_ms: float
    kind: str
    factor: float = 1.0


class FakeEndpoint:
    """Serves one request per slot at a time; others wait in order."""

    def __init__(
        self,
        loop: VirtualLoop,
        announcement: Endpoint,
        seed: int,
        phases: tuple[FaultPhase, ...] = (),
    ) -> None:
        self.announcement = announcement
        self.worker_id = announcement.worker_id
        self._loop = loop
        self._phases = phases
        self._rng = random.Random(f"{seed}/{self.worker_id}")
        self._free_at_ms = [0.0] * announcement.slots
        self.over_slots = 0

    def send(
        self, service_ms: float, deliver: Callable[[SendResult, float], None]
    ) -> None:
        """Serve a request; `deliver` gets the result and the work in ms."""
        now_ms = self._loop.now_ms
        phase = self._current_phase()
        if phase is not None and phase.kind == "hang":
            return
        if phase is not None and phase.kind in ("reset", "unavailable"):
            if self._rng.random() < phase.factor:
                failure = _RESET if phase.kind == "reset" else _UNAVAILABLE
                self._loop.call_later(1.0, lambda: deliver(failure, 0.0))
                return
        if phase is not None and phase.kind == "slow":
            service_ms *= phase.factor
        start_ms = max(now_ms, heapq.heappop(self._free_at_ms))
        end_ms = start_ms + service_ms
        heapq.heappush(self._free_at_ms, end_ms)
        self.over_slots += start_ms > now_ms
        self._loop.call_at(end_ms, lambda: deliver(_ANSWERED, service_ms))

    def _current_phase(self) -> FaultPhase | None:
        now_ms = self._loop.now_ms
        for phase in self._phases:
            if phase.from_ms <= now_ms < phase.until_ms:
                return phase
        return None
