"""Stand-in for a worker, as the platform's pages describe it."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any

from review.standin.http import call
from review.standin.http import Server
from review.standin.record import Record

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6_000
STOP_S = 0.1
LASTS = "lasts"


@dataclasses.dataclass
class Run:
    """A run on the worker."""

    task: str
    run: int
    started_s: float
    ends_s: float | None


class Worker:
    """Keeps runs under a lease and reports itself to the control address.

    `task_spec` holds the seconds that a task runs, or ``lasts``.

    Parameters
    ----------
    identity : dict
        `id`, `address`, `zone`, `machine` and `labels` of the worker.
    service : str
        Name of its service.
    control : callable
        Returns the control addresses that the worker may call.
    record : Record
        Record of the case.

    Attributes
    ----------
    unhealthy : bool
        Whether starts get 503 and do nothing.
    first_end : asyncio.Event
        Set once a run has ended.
    lapses_s : list of float
        When its lease lapsed.
    end_times : list of (float, str, str)
        Time, task and kind of each end.
    acknowledged : list of (float, list)
        When `ack_cursor` reached an end, and its row.
    starts : list of (float, str, int)
        Time, task and run of each start.
    """

    def __init__(
        self,
        identity: dict[str, Any],
        service: str,
        control: Callable[[], list[str]],
        record: Record,
    ) -> None:
        self.identity = identity
        self._service = service
        self._control = control
        self._record = record
        self._server: Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.unhealthy = False
        self._joined = asyncio.Event()
        self._joined.set()
        self.lapses_s: list[float] = []
        self.first_end = asyncio.Event()
        self.end_times: list[tuple[float, str, str]] = []
        self.acknowledged: list[tuple[float, list[Any]]] = []
        self.draining = False
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[list[Any]] = []
        self.heartbeat_address = ""
        self._born_ms = 0
        self._runs: dict[str, Run] = {}

    @property
    def up(self) -> bool:
        """Whether the process runs."""
        return self._server is not None

    @property
    def running(self) -> set[str]:
        """Names of the tasks that run."""
        return set(self._runs)

    async def start(self) -> None:
        """Start a life of the worker."""
        self._born_ms = max(self._born_ms + 1, time.time_ns() // 1_000_000)
        self._start_s = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._lease_end_ms = 0
        self._lapsed = False
        self._end_number = 0
        self._ended: list[list[Any]] = []
        self._highest: dict[str, int] = {}
        self._runs = {}
        self._changed = asyncio.Event()
        self._server = Server(self.identity["address"], self._handle)
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._watch()),
        ]
        self._record.line(
            "worker starts", id=self.identity["id"], born=self._born_ms
        )

    def crash(self) -> None:
        """End the process at once; nothing is kept."""
        if self._server is None:
            return
        self._record.line(
            "worker crashes",
            id=self.identity["id"],
            runs=",".join(sorted(self._runs)),
        )
        self._server.kill()
        self._server = None
        for task in self._tasks:
            task.cancel()
        self._runs = {}

    def cut_off(self) -> None:
        """Hold up all calls until `join`."""
        self._joined.clear()
        self._record.line("worker cut off", id=self.identity["id"])

    def join(self) -> None:
        """End the cut."""
        self._joined.set()
        self._record.line("worker joined", id=self.identity["id"])

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._start_s) * 1000) + 1_000

    async def heartbeat(self, address: str) -> bool:
        """Send one check-in; return whether it was acknowledged."""
        self._sequence += 1
        status, answer = await call(
            address,
            "POST",
            f"/api/instances/{self.identity['id']}/heartbeat",
            {
                "service": self._service,
                "address": self.identity["address"],
                "zone": self.identity["zone"],
                "machine": self.identity["machine"],
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 0,
                "capacity": {
                    "cpu": 64_000,
                    "requested_memory_mb": 256_000,
                    "gpus": 0,
                },
                "labels": self.identity["labels"],
                "clock_ms": self._clock_ms,
                "sequence": self._sequence,
                "born": self._born_ms,
            },
        )
        if status == 200 and answer:
            self.heartbeat_address = answer.get("heartbeat_address", "")
        return status == 200

    async def _beat(self) -> None:
        turn = 0
        while True:
            await self._joined.wait()
            addresses = self._control()
            if self.heartbeat_address:
                addresses = [self.heartbeat_address, *addresses]
            for _ in addresses:
                address = addresses[turn % len(addresses)]
                if await self.heartbeat(address):
                    break
                turn += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            lapsed = 0 < self._lease_end_ms < self._clock_ms
            if lapsed and not self._lapsed:
                self.lapses_s.append(self._record.now_s)
                self._record.line("lease lapses", worker=self.identity["id"])
            self._lapsed = lapsed
            if self._runs and lapsed:
                for run in list(self._runs.values()):
                    self._end(run, "lapsed")
            for run in list(self._runs.values()):
                if run.ends_s is not None and now_s >= run.ends_s:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        if self._runs.pop(run.task, None) is None:
            return
        self._end_number += 1
        row = [self._end_number, run.task, run.run, how, ""]
        self._ended.append(row)
        self.ends.append(row)
        self.first_end.set()
        self.end_times.append((self._record.now_s, run.task, how))
        self._record.line(
            "run ends",
            task=run.task,
            run=run.run,
            how=how,
            worker=self.identity["id"],
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        # What is sent during the cut arrives after it, in both directions.
        await self._joined.wait()
        answer = await self._carry_out(path, headers, body)
        await self._joined.wait()
        return answer

    async def _carry_out(
        self, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        expected = headers.get("x-sardinespool-expected-instance")
        if expected not in (None, self.identity["id"]):
            return 421, self._answer()
        token = body.get("fencing_token", 0)
        if token < self._fence:
            return 409, self._answer(reason="fence")
        self._fence = token
        match path:
            case "/api/run-start":
                return self._start_run(body)
            case "/api/run-stop":
                return self._stop_run(body)
            case "/api/hold":
                return await self._hold(body)
            case "/api/pace":
                return 200, self._answer()
            case _:
                return 404, self._answer()

    def _answer(self, **fields: Any) -> dict[str, Any]:
        return {"clock_ms": self._clock_ms, "born": self._born_ms, **fields}

    def _extend(self, expires_ms: int) -> None:
        limit_ms = self._clock_ms + MAX_HOLD_MS
        self._lease_end_ms = max(self._lease_end_ms, min(expires_ms, limit_ms))

    def _start_run(self, body: Any) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        if self.unhealthy:
            self._record.line(
                "start gets 503", task=task, worker=self.identity["id"]
            )
            return 503, self._answer()
        held = self._runs.get(task)
        if held is not None and held.run == number:
            self._extend(body["expires_ms"])
            return 200, self._answer()
        if number <= self._highest.get(task, 0):
            return 409, self._answer(reason="old")
        if body["expires_ms"] <= self._clock_ms:
            return 409, self._answer(reason="late")
        self._extend(body["expires_ms"])
        spec = body["task_spec"]
        now_s = time.monotonic()
        ends_s = None if spec == LASTS else now_s + float(spec)
        self._runs[task] = Run(task, number, now_s, ends_s)
        self._highest[task] = number
        self.starts.append((self._record.now_s, task, number))
        self._record.line(
            "run starts", task=task, run=number, worker=self.identity["id"]
        )
        return 200, self._answer()

    def _stop_run(self, body: Any) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.run == number:
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, run, "stopped"
            )
        return 200, self._answer()

    async def _hold(self, body: Any) -> tuple[int, Any]:
        if body.get("expires_ms") is not None:
            self._extend(body["expires_ms"])
        cursor = body.get("ack_cursor", 0)
        now_s = self._record.now_s
        self.acknowledged += [
            (now_s, row) for row in self._ended if row[0] <= cursor
        ]
        self._ended = [row for row in self._ended if row[0] > cursor]
        wait_s = min(2_000, body.get("wait_ms") or 0) / 1000
        if not self._ended and wait_s:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.run, "", self._percent(run), 0]
            for run in self._runs.values()
        ]
        ended = self._ended[:500]
        return 200, self._answer(running=running, ended=ended)

    def _percent(self, run: Run) -> int:
        if run.ends_s is None:
            return 100
        share = (time.monotonic() - run.started_s) / (
            run.ends_s - run.started_s
        )
        return min(99, int(100 * share))
