"""Stand-in for the workers: they run tasks as PROTOCOL.md says.

A task's ``task_spec`` is ``ms=N``, its run time, or ``fail=N``, the time after
which it fails; a task with neither lasts.
All workers of a test run in one thread with an event loop of its own.
"""

import asyncio
import contextlib
import dataclasses
import json
import random
import threading
import time
from collections.abc import Callable
from typing import Any

from review.standin2.record import Record

MAX_HOLD_MS = 6_000
HOLD_WAIT_MAX_MS = 2_000
ENDS_LISTED_MAX = 500
BEAT_TIMEOUT_S = 1.0
TICK_S = 0.02


@dataclasses.dataclass
class Run:
    """A run of a task on a worker."""

    task: str
    number: int
    started: float
    length_s: float | None
    spec: str = ""

    def percent(self, now: float) -> int:
        """Return the progress; a task that lasts is at work at 100."""
        if not self.spec.startswith("ms="):
            return 100 if now - self.started > 0.3 else 0
        return min(99, int(100 * (now - self.started) / self.length_s))


class Worker:
    """One worker; it may crash, come back and leave.

    Attributes
    ----------
    crash_on : callable
        Called with each run that has started; by default it does nothing.
    late : callable
        Called with a path; returns the seconds by which the order is carried
        out late and unanswered, or None.
    """

    def __init__(
        self, workers: "Workers", number: int, ip: str, zone: str, cpu: int
    ) -> None:
        self._workers = workers
        self.number = number
        self.machine = f"m-{number:05d}"
        self.ip = ip
        self.zone = zone
        self.cpu = cpu
        self.up = False
        self.life = 0
        self.late: Callable[[str], float | None] = lambda path: None
        self._reset()

    def _reset(self) -> None:
        self.id = f"i-{self.number:04d}{self.life:04d}"
        self.born = int(time.time() * 1000)
        self._zero = time.monotonic() - random.uniform(100, 900)
        self.runs: dict[str, Run] = {}
        self.ends: list[list[Any]] = []
        self._next_end = 1
        self._seen_token = 0
        self._lease_end_ms = 0
        self._highest: dict[str, int] = {}
        self._sequence = 0
        self._beat_address = ""
        self.state = "ready"
        self.draining_acked_at: float | None = None
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    def clock_ms(self) -> int:
        """Return the steady clock of the worker."""
        return int((time.monotonic() - self._zero) * 1000)

    async def start(self) -> None:
        """Begin a new life under a new id."""
        self.life += 1
        self._reset()
        self._server = await asyncio.start_server(
            self._serve, self.ip, self._workers.port
        )
        self.up = True
        self._spawn(self._beat())
        self._spawn(self._tick())
        self._workers.record.add(f"worker {self.id} starts")

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash(self, why: str) -> None:
        """End at once; connections are reset, and nothing is said."""
        self._workers.record.add(
            f"worker {self.id} crashes ({why}) under"
            f" {sorted((r.task, r.number) for r in self.runs.values())}"
        )
        self._end()

    def _end(self) -> None:
        self.up = False
        self._changed.set()
        self._server.close()
        for run in list(self.runs.values()):
            self._workers.ended(self, run, "lost")
        self.runs.clear()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def leave(self, drain_ms: int, patience_s: float = 4.0) -> None:
        """Drain, say so, leave and end."""
        self.state = "draining"
        self._workers.record.add(f"worker {self.id} drains")
        acked = False
        end = time.monotonic() + patience_s
        while not acked and time.monotonic() < end:
            acked = await self._send_beat()
        await asyncio.sleep(drain_ms / 1000 + 0.5)
        status = await self._call_control(
            f"/api/instances/{self.id}/leave", {"born": self.born}
        )
        self._workers.record.add(f"worker {self.id} leaves: {status}")
        self._end()

    async def _call_control(self, path: str, body: Any) -> int:
        addresses = random.sample(
            self._workers.control, len(self._workers.control)
        )
        if self._beat_address:
            addresses.insert(0, self._beat_address)
        for address in addresses:
            status, answer = await post(address, path, body, BEAT_TIMEOUT_S)
            if status == 200:
                if isinstance(answer, dict):
                    self._beat_address = answer.get("heartbeat_address", "")
                return status
            self._beat_address = ""
        return status

    async def _send_beat(self) -> bool:
        self._sequence += 1
        status = await self._call_control(
            f"/api/instances/{self.id}/heartbeat",
            {
                "service": "huvo11a",
                "address": f"{self.ip}:{self._workers.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "capacity": {
                    "cpu": self.cpu,
                    "requested_memory_mb": 64000,
                    "gpus": 0,
                },
                "labels": ["a", f"r{self.number // 8}-{self.zone}"],
                "clock_ms": self.clock_ms(),
                "sequence": self._sequence,
                "born": self.born,
                "machine": self.machine,
                **({"remaining_ms": 2000} if self.state != "ready" else {}),
            },
        )
        return status == 200

    async def _beat(self) -> None:
        while True:
            await self._send_beat()
            await asyncio.sleep(1.1 * random.uniform(0.9, 1.1))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self.runs and self.clock_ms() >= self._lease_end_ms
            for run in list(self.runs.values()):
                if lapsed:
                    self._finish(run, "lapsed")
                elif (
                    run.length_s is not None
                    and now >= run.started + run.length_s
                ):
                    failed = run.spec.startswith("fail=")
                    self._finish(run, "failed" if failed else "done")

    def _finish(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._highest[run.task] = max(
            run.number, self._highest.get(run.task, 0)
        )
        self.ends.append([self._next_end, run.task, run.number, how, ""])
        self._next_end += 1
        self._workers.ended(self, run, how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        life = self.life
        try:
            while life == self.life and self.up:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                path = lines[0].split()[1]
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (
                        line.partition(":") for line in lines[1:]
                    )
                }
                data = await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
                status, body = await self._answer(path, headers, data)
                if status == 0:
                    # Unanswered: the connection stays open.
                    continue
                text = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"X-Sardinespool-Instance-Id: {self.id}\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, path: str, headers: dict[str, str], data: bytes
    ) -> tuple[int, Any]:
        if path == "/health":
            return 200, {}
        expected = headers.get("x-sardinespool-expected-instance", self.id)
        if expected != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        try:
            body = json.loads(data)
        except ValueError:
            return 400, {"clock_ms": self.clock_ms()}
        if path == "/api/hold":
            return await self._hold(body)
        late_s = self.late(path)
        if late_s is not None:
            self._workers.record.add(
                f"worker {self.id} carries {path} {body.get('task')} out"
                f" {late_s:.1f} s late"
            )
            self._spawn(self._act_later(late_s, path, body))
            return 0, None
        return self._act(path, body)

    async def _act_later(self, late_s: float, path: str, body: Any) -> None:
        await asyncio.sleep(late_s)
        self._act(path, body)

    def _refusal(self, reason: str) -> tuple[int, Any]:
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _extend(self, expires_ms: int) -> None:
        limit = self.clock_ms() + MAX_HOLD_MS
        self._lease_end_ms = max(self._lease_end_ms, min(expires_ms, limit))

    def _act(self, path: str, body: Any) -> tuple[int, Any]:
        token = body.get("fencing_token", 0)
        if token < self._seen_token:
            return self._refusal("fence")
        self._seen_token = token
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if path == "/api/run-start":
            if run is not None and run.number == number:
                self._extend(body["expires_ms"])
                return 200, {"clock_ms": self.clock_ms()}
            if body["expires_ms"] <= self.clock_ms():
                return self._refusal("late")
            self._extend(body["expires_ms"])
            if run is not None or number <= self._highest.get(task, 0):
                return self._refusal("old")
            spec = body["task_spec"]
            kind, _, length_ms = spec.partition("=")
            length_s = (
                int(length_ms) / 1000 if kind in ("ms", "fail") else None
            )
            run = Run(task, number, time.monotonic(), length_s, spec)
            self.runs[task] = run
            self._workers.started(self, run)
        elif path == "/api/run-stop":
            self._highest[task] = max(number, self._highest.get(task, 0))
            if run is not None and run.number <= number:
                self._finish(run, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body: Any) -> tuple[int, Any]:
        token = body.get("fencing_token", 0)
        if token < self._seen_token:
            return self._refusal("fence")
        self._seen_token = token
        if "expires_ms" in body:
            self._extend(body["expires_ms"])
        cursor = body.get("ack_cursor", 0)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if not self.ends and body.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(),
                    min(body["wait_ms"], HOLD_WAIT_MAX_MS) / 1000,
                )
        now = time.monotonic()
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": [
                [run.task, run.number, "", run.percent(now), 500]
                for run in self.runs.values()
            ],
            "ended": self.ends[:ENDS_LISTED_MAX],
        }


class Workers:
    """The workers of one service, in a thread of their own.

    Attributes
    ----------
    specs : list of str
        The ``task_spec`` of each start.
    open_runs : dict
        By task, the runs that are at work now, with their workers.
    history : list of tuple
        (time, task, run, worker, what) of each start and end.
    """

    def __init__(
        self, record: Record, control: list[str], port: int, zones: list[str]
    ) -> None:
        self.record = record
        self.control = control
        self.port = port
        self.zones = zones
        self.all: list[Worker] = []
        self.open_runs: dict[str, list[tuple[Run, Worker]]] = {}
        self.history: list[tuple[float, str, int, str, str]] = []
        self.twice: list[str] = []
        self.specs: list[str] = []
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def add(self, ips: list[str], cpu: int = 16_000) -> None:
        """Start a worker on each address."""
        for ip in ips:
            number = len(self.all)
            worker = Worker(
                self, number, ip, self.zones[number % len(self.zones)], cpu
            )
            self.all.append(worker)
            self.do(worker.start())

    def do(self, work: Any) -> Any:
        """Run a coroutine in the thread of the workers."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def call(self, function: Callable[[], Any]) -> Any:
        """Call a function in the thread of the workers."""

        async def work() -> Any:
            return function()

        return self.do(work())

    def started(self, worker: Worker, run: Run) -> None:
        """Note the start of a run."""
        others = self.open_runs.setdefault(run.task, [])
        if others:
            text = (
                f"{run.task}: run {run.number} starts on {worker.id} while run"
                f" {others[0][0].number} is at work on {others[0][1].id}"
            )
            self.twice.append(text)
            self.record.add(text)
        others.append((run, worker))
        self.history.append(
            (self.record.now(), run.task, run.number, worker.id, "start")
        )
        self.specs.append(run.spec)
        self.record.add(
            f"{worker.id} starts {run.task} run {run.number}, {run.spec}"
        )

    def ended(self, worker: Worker, run: Run, how: str) -> None:
        """Note the end of a run."""
        self.open_runs[run.task] = [
            pair for pair in self.open_runs[run.task] if pair[0] is not run
        ]
        self.history.append(
            (self.record.now(), run.task, run.number, worker.id, how)
        )
        self.record.add(f"{worker.id} ends {run.task} run {run.number}: {how}")

    def close(self) -> None:
        """End all workers."""

        def end() -> None:
            for worker in self.all:
                if worker.up:
                    worker._end()

        self.call(end)
        # The calls in progress end first.
        self.do(asyncio.sleep(0.1))
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(2)


async def post(
    address: str, path: str, body: Any, timeout_s: float
) -> tuple[int, Any]:
    """Make a POST; follow a 307 twice. Status 0 is no answer."""
    for _ in range(3):
        host, _, port = address.rpartition(":")
        text = json.dumps(body).encode()
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
                    "Connection: close\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                answer = await reader.read()
        except (OSError, TimeoutError):
            return 0, None
        finally:
            if writer is not None:
                writer.close()
        head, _, data = answer.partition(b"\r\n\r\n")
        if not head:
            return 0, None
        status = int(head.split()[1])
        if status == 307:
            for line in head.decode("latin-1").split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "location":
                    rest = value.strip().split("//", 1)[1]
                    address, _, tail = rest.partition("/")
                    path = "/" + tail
            continue
        try:
            return status, json.loads(data)
        except ValueError:
            return status, None
    return 0, None
