"""Virtual time, hosts with their own clocks, and a faulty network."""

import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Generator
from typing import Any

from sardinespool.clock import Instant

UNIX_BASE_MS = 1_700_000_000_000
SKEWS_MS = (-125, 0, 125)
"""Clocks within 125 ms of real time are within 250 ms of each other."""

Action = Callable[[], Any]
Wait = Callable[[Callable[[Any], None]], None]
"""Starts something and calls its argument with the result."""

Steps = Generator[Wait, Any, Any]


def once(function: Callable[..., Any]) -> Callable[..., None]:
    """Return a function that passes on its first call only."""
    over: list[bool] = []

    def call(*values: Any) -> None:
        if not over:
            over.append(True)
            function(*values)

    return call


class CrashedError(Exception):
    """The process that handles the present event ends here."""

    def __init__(self, host: "Host") -> None:
        super().__init__(host.name)
        self.host = host


class Engine:
    """Heap of events; everything random comes from one seeded generator."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self._order = itertools.count()
        self._heap: list[tuple[int, int, Any, int | None, Action]] = []

    def at(
        self,
        delay_ms: int,
        host: "Host | None",
        action: Action,
        any_start: bool = False,
    ) -> None:
        """Run `action` on a host later; not if the host crashed meanwhile.

        `any_start` is for messages, which a restarted process may get.
        """
        start = None if host is None or any_start else host.starts
        due_ms = self.now_ms + delay_ms
        item = (due_ms, next(self._order), host, start, action)
        heapq.heappush(self._heap, item)

    def run_until(self, end_ms: int) -> None:
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, order, host, start, action = heapq.heappop(self._heap)
            self.now_ms = max(self.now_ms, due_ms)
            if host is not None:
                if not host.up or start not in (None, host.starts):
                    continue
                if self.now_ms < host.frozen_until_ms:
                    late = (host.frozen_until_ms, order, host, start, action)
                    heapq.heappush(self._heap, late)
                    continue
            try:
                action()
            except CrashedError as crash:
                crash.host.crash()
        self.now_ms = end_ms


class Host:
    """One process; `on_start` builds its volatile state."""

    def __init__(self, world: Any, name: str, domain: str) -> None:
        self.world = world
        self.engine: Engine = world.engine
        self.name = name
        self.domain = domain
        self.up = False
        self.starts = 0
        self.frozen_until_ms = 0
        self.skew_ms: int = self.engine.random.choice(SKEWS_MS)
        self.boot_offset_ms = self.engine.random.randrange(1_000_000)

    def now(self) -> Instant:
        real_ms = self.engine.now_ms
        unix_ms = real_ms + UNIX_BASE_MS + self.skew_ms
        return Instant(real_ms + self.boot_offset_ms, unix_ms)

    def real_ms(self, unix_ms: int) -> int:
        """Return the real time at which this host's clock shows `unix_ms`."""
        return unix_ms - UNIX_BASE_MS - self.skew_ms

    def at_unix(self, unix_ms: int, action: Action) -> None:
        self.engine.at(max(0, unix_ms - self.now().unix_ms), self, action)

    def every(self, interval_ms: int, action: Action) -> None:
        def run() -> None:
            self.engine.at(interval_ms, self, run)
            action()

        self.engine.at(self.engine.random.randrange(interval_ms), self, run)

    def spawn(self, steps: Steps) -> None:
        """Run a generator; each value that it yields starts a wait."""

        def resume(value: Any) -> None:
            try:
                wait = steps.send(value)
            except StopIteration:
                return
            wait(once(resume))

        resume(None)

    def sleep(self, duration_ms: int) -> Wait:
        return lambda resume: self.engine.at(
            duration_ms, self, lambda: resume(None)
        )

    def call(self, group: str, request: Any, timeout_ms: int) -> Wait:
        """Call a group; the result is a reply or a typed error."""
        return lambda resume: self.world.clients.call(
            self, group, request, self.now().unix_ms + timeout_ms, resume
        )

    def start(self) -> None:
        if not self.up:
            self.up = True
            self.starts += 1
            self.frozen_until_ms = 0
            self.on_start()

    def crash(self, restart_after_ms: int = 1_500) -> None:
        """End the process; nothing volatile survives."""
        if self.up:
            self.up = False
            self.on_crash()
            self.engine.at(restart_after_ms, None, self.start)

    def freeze(self, duration_ms: int) -> None:
        """Run nothing for a time; messages wait."""
        self.frozen_until_ms = self.engine.now_ms + duration_ms

    def on_start(self) -> None:
        """Build the volatile state."""

    def on_crash(self) -> None:
        """Note the end of the process."""


class Network:
    """Links between hosts; faults are sets of host names or pairs."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.heal()

    def heal(self) -> None:
        self.loss = self.duplication = 0.0
        self.delay_max_ms = 3
        self.cuts: set[tuple[str, str]] = set()
        self.duplicating: set[str] = set()
        self.delaying: set[str] = set()
        self.reordering: set[str] = set()
        self.reordering_links: set[frozenset[str]] = set()
        self.replies_to_lose: dict[str, int] = {}

    def send(
        self,
        sender: Host,
        to: Host,
        deliver: Action,
        reply: bool = False,
        once: bool = False,
    ) -> None:
        """Pass a message, zero or more times; HTTP at most `once`."""
        if not sender.up or (sender.name, to.name) in self.cuts:
            return
        if reply and self.replies_to_lose.get(sender.name, 0):
            self.replies_to_lose[sender.name] -= 1
            return
        generator = self._engine.random
        names = {sender.name, to.name}
        twice = generator.random() < self.duplication
        twice = (twice or bool(self.duplicating & names)) and not once
        for _ in range(1 + twice):
            if generator.random() < self.loss:
                continue
            delay_ms = generator.randint(1, self.delay_max_ms)
            delay_ms += 450 * bool(self.delaying & names)
            if self.reordering & names or names in self.reordering_links:
                delay_ms += generator.randrange(700)
            self._engine.at(delay_ms, to, deliver, any_start=True)
