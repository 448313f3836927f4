"""Event loop in virtual time, hosts with skewed clocks, faulty network."""

import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Generator
from typing import Any

from sardinespool.clock import Instant

UNIX_BASE_MS = 1_700_000_000_000
CLOCK_SKEWS_MS = (-125, 0, 125)
"""Clocks within 125 ms of real time are within 250 ms of each other."""

Action = Callable[[], Any]
AsyncCall = Callable[[Callable[[Any], None]], None]
"""Starts an operation and calls its argument with the result."""

Coroutine = Generator[AsyncCall, Any, Any]


def once(function: Callable[..., Any]) -> Callable[..., None]:
    """Return a wrapper that forwards only the first call."""
    called: list[bool] = []

    def call(*values: Any) -> None:
        if not called:
            called.append(True)
            function(*values)

    return call


class CrashedError(Exception):
    """Crashes the process that handles the current event."""

    def __init__(self, host: "Host") -> None:
        super().__init__(host.name)
        self.host = host


class Engine:
    """Event loop in virtual time with one seeded random generator."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self._sequence = itertools.count()
        self._heap: list[tuple[int, int, Any, int | None, Action]] = []

    def call_later(
        self,
        delay_ms: int,
        host: "Host | None",
        action: Action,
        survives_restart: bool = False,
    ) -> None:
        """Run `action` on a host after a delay unless the host crashes first.

        Messages set `survives_restart`, since a restarted process may receive
        them.
        """
        start_count = (
            None if host is None or survives_restart else host.start_count
        )
        due_ms = self.now_ms + delay_ms
        item = (due_ms, next(self._sequence), host, start_count, action)
        heapq.heappush(self._heap, item)

    def run_until(self, end_ms: int) -> None:
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, sequence, host, start_count, action = heapq.heappop(
                self._heap
            )
            self.now_ms = max(self.now_ms, due_ms)
            if host is not None:
                if not host.up or start_count not in (None, host.start_count):
                    continue
                if self.now_ms < host.frozen_until_ms:
                    deferred = (
                        host.frozen_until_ms,
                        sequence,
                        host,
                        start_count,
                        action,
                    )
                    heapq.heappush(self._heap, deferred)
                    continue
            try:
                action()
            except CrashedError as crash:
                crash.host.crash()
        self.now_ms = end_ms


class Host:
    """One simulated process; `on_start` initializes its volatile state."""

    def __init__(self, world: Any, name: str, domain: str) -> None:
        self.world = world
        self.engine: Engine = world.engine
        self.name = name
        self.domain = domain
        self.up = False
        self.start_count = 0
        self.frozen_until_ms = 0
        self.clock_skew_ms: int = self.engine.random.choice(CLOCK_SKEWS_MS)
        self.boot_offset_ms = self.engine.random.randrange(1_000_000)

    def now(self) -> Instant:
        real_ms = self.engine.now_ms
        unix_ms = real_ms + UNIX_BASE_MS + self.clock_skew_ms
        return Instant(real_ms + self.boot_offset_ms, unix_ms)

    def real_ms(self, unix_ms: int) -> int:
        """Return the real time at which this host's clock shows `unix_ms`."""
        return unix_ms - UNIX_BASE_MS - self.clock_skew_ms

    def call_at_unix(self, unix_ms: int, action: Action) -> None:
        self.engine.call_later(
            max(0, unix_ms - self.now().unix_ms), self, action
        )

    def call_every(self, interval_ms: int, action: Action) -> None:
        def run() -> None:
            self.engine.call_later(interval_ms, self, run)
            action()

        self.engine.call_later(
            self.engine.random.randrange(interval_ms), self, run
        )

    def spawn(self, coroutine: Coroutine) -> None:
        """Run a coroutine; it is resumed with the result of each operation."""

        def resume(value: Any) -> None:
            try:
                async_call = coroutine.send(value)
            except StopIteration:
                return
            async_call(once(resume))

        resume(None)

    def sleep(self, duration_ms: int) -> AsyncCall:
        return lambda resume: self.engine.call_later(
            duration_ms, self, lambda: resume(None)
        )

    def call(self, group: str, request: Any, timeout_ms: int) -> AsyncCall:
        """Call a group; the result is a reply or a typed error."""
        return lambda resume: self.world.clients.call(
            self, group, request, self.now().unix_ms + timeout_ms, resume
        )

    def start(self) -> None:
        if not self.up:
            self.up = True
            self.start_count += 1
            self.frozen_until_ms = 0
            self.on_start()

    def crash(self, restart_after_ms: int = 1_500) -> None:
        """End the process, lose its volatile state and restart it later."""
        if self.up:
            self.up = False
            self.on_crash()
            self.engine.call_later(restart_after_ms, None, self.start)

    def freeze(self, duration_ms: int) -> None:
        """Pause the process; its events and messages are deferred."""
        self.frozen_until_ms = self.engine.now_ms + duration_ms

    def on_start(self) -> None:
        """Initialize the volatile state."""

    def on_crash(self) -> None:
        """Discard the volatile state."""


class Network:
    """Links between hosts; faults apply to host names or pairs of them."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.heal()

    def heal(self) -> None:
        self.loss = self.duplication = 0.0
        self.delay_max_ms = 3
        self.cut_links: set[tuple[str, str]] = set()
        self.duplicating: set[str] = set()
        self.delaying: set[str] = set()
        self.reordering: set[str] = set()
        self.reordering_links: set[frozenset[str]] = set()
        self.replies_to_lose: dict[str, int] = {}

    def send(
        self,
        sender: Host,
        recipient: Host,
        deliver: Action,
        reply: bool = False,
        at_most_once: bool = False,
    ) -> None:
        """Deliver a message zero, one or two times.

        HTTP requests set `at_most_once`, since they are not duplicated.
        """
        if not sender.up or (sender.name, recipient.name) in self.cut_links:
            return
        if reply and self.replies_to_lose.get(sender.name, 0):
            self.replies_to_lose[sender.name] -= 1
            return
        rng = self._engine.random
        names = {sender.name, recipient.name}
        duplicated = rng.random() < self.duplication
        duplicated = (
            duplicated or bool(self.duplicating & names)
        ) and not at_most_once
        for _ in range(1 + duplicated):
            if rng.random() < self.loss:
                continue
            delay_ms = rng.randint(1, self.delay_max_ms)
            delay_ms += 450 * bool(self.delaying & names)
            if self.reordering & names or names in self.reordering_links:
                delay_ms += rng.randrange(700)
            self._engine.call_later(
                delay_ms, recipient, deliver, survives_restart=True
            )
