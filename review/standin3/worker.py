"""Stand-in worker that follows the users' page on running tasks."""

import asyncio
import dataclasses
import json
import time
from typing import Any

from review.standin3.http_calls import Answer
from review.standin3.http_calls import Call
from review.standin3.http_calls import HttpClient
from review.standin3.http_calls import HttpServer
from review.standin3.record import Record

MAX_HOLD_MS = 6_000
STOP_MS = 100
STEP_S = 0.01
ENDS_LISTED_MAX = 500
ANSWER_WAIT_S = 1.0
"""A call without an answer in this time counts as failed."""


@dataclasses.dataclass
class RunningTask:
    """A run on a worker; its work is measured in milliseconds."""

    task: str
    run: int
    work_ms: float | None
    saves: bool
    done_ms: float = 0.0
    saved: str = ""
    percent: int = 100
    stops_ms: float | None = None


@dataclasses.dataclass(frozen=True)
class Interval:
    """When a run was at work, in milliseconds of the record."""

    task: str
    run: int
    worker: str
    start_ms: int
    end_ms: int
    how: str


@dataclasses.dataclass
class Place:
    """Where a worker runs, and how it reports."""

    host: str
    port: int
    zone: str
    machine: str
    service: str
    controls: tuple[str, ...]
    heartbeat_ms: int = 1_100
    cpu: int = 16_000
    memory_mb: int = 64_000
    labels: tuple[str, ...] = ("a", "r1-1")


class Worker:
    """One life of a machine.

    A task's text is JSON with `work_ms`; without it the task lasts.

    Parameters
    ----------
    worker_id : str
        Its id.
    place : Place
        Its address, zone and machine.
    record : Record
        Takes what happens.
    intervals : list of Interval
        Takes the runs.
    """

    def __init__(
        self,
        worker_id: str,
        place: Place,
        record: Record,
        intervals: list[Interval],
    ) -> None:
        self.worker_id = worker_id
        self.place = place
        self.born = int(time.time() * 1000)
        self.up = False
        self.draining = False
        self.running: dict[str, RunningTask] = {}
        self.hears_control = True
        self.healthy = True
        self._record = record
        self._intervals = intervals
        self._started_ms: dict[tuple[str, int], int] = {}
        self._ended: list[tuple[int, str, int, str, str]] = []
        self._next_end = 1
        self._highest_run: dict[str, int] = {}
        self._fence = 0
        self._hold_until_ms = 0
        self._sequence = 0
        self._began = time.monotonic()
        self._server = HttpServer(self._handle)
        self._client = HttpClient()
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._control = place.controls[0]
        self._acked_drain = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return int((time.monotonic() - self._began) * 1000)

    async def start(self) -> None:
        """Start to serve and to report."""
        await self._server.start(self.place.host, self.place.port)
        self.up = True
        self._record.write(self.worker_id, f"up on {self.place.machine}")
        self._tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._report()),
        ]

    def end(self, how: str) -> None:
        """End the process; all that runs on it ends with it."""
        if not self.up:
            return
        self.up = False
        self._server.abort()
        self._client.close()
        for task in self._tasks:
            task.cancel()
        for run in list(self.running.values()):
            self._note_end(run, how)
        self.running.clear()
        self._record.write(self.worker_id, f"process ends ({how})")

    def cut_from_control(self) -> None:
        """Cut the way from control to the worker; the other way is open."""
        self.hears_control = False
        self._record.write(self.worker_id, "no longer hears control")

    def set_healthy(self, healthy: bool) -> None:
        """Refuse all calls with 503 from now on, or serve them again."""
        if self.healthy != healthy:
            self.healthy = healthy
            text = "healthy again" if healthy else "unhealthy: answers 503"
            self._record.write(self.worker_id, text)

    async def drain_until_acked(self) -> None:
        """Say that it drains, and wait for the ack."""
        self.draining = True
        self._acked_drain.clear()
        await self._send_heartbeat()
        await self._acked_drain.wait()

    async def leave(self) -> bool:
        """Say that it leaves; return whether that was acknowledged."""
        self._record.write(self.worker_id, "leave sent")
        answer = await self._call_control("leave", {"born": self.born})
        acked = answer is not None and 200 <= answer[0] < 300
        self._record.write(
            self.worker_id, f"leave {'acked' if acked else 'not acked'}"
        )
        return acked

    async def _report(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(self.place.heartbeat_ms / 1000)

    async def _send_heartbeat(self) -> None:
        place = self.place
        self._sequence += 1
        draining = self.draining
        body: dict[str, Any] = {
            "service": place.service,
            "address": f"{place.host}:{place.port}",
            "zone": place.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": place.cpu,
                "requested_memory_mb": place.memory_mb,
                "gpus": 0,
            },
            "labels": list(place.labels),
            "machine": place.machine,
            "clock_ms": self.clock_ms,
            "sequence": self._sequence,
            "born": self.born,
        }
        if draining:
            body["remaining_ms"] = 2_000
        for _ in place.controls:
            answer = await self._call_control("heartbeat", body)
            if answer is not None and 200 <= answer[0] < 300:
                if draining:
                    self._acked_drain.set()
                named = answer[1].get("heartbeat_address", "")
                if named in place.controls:
                    self._control = named
                return
            self._choose_next_control()

    def _choose_next_control(self) -> None:
        controls = self.place.controls
        index = controls.index(self._control) + 1
        self._control = controls[index % len(controls)]

    async def _call_control(self, verb: str, body: Any) -> Answer | None:
        """Return the answer of a control address, None if none arrives.

        While the worker doesn't hear control, its calls arrive there and the
        answers are lost on their way back.
        """
        answer = await self._client.call(
            self._control,
            "POST",
            f"/api/instances/{self.worker_id}/{verb}",
            body,
        )
        if self.hears_control:
            return answer
        self._client.close()
        await asyncio.sleep(ANSWER_WAIT_S)
        return None

    async def _work(self) -> None:
        before = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            passed_ms = (now - before) * 1000
            before = now
            lapsed = self.clock_ms >= self._hold_until_ms
            for run in list(self.running.values()):
                if lapsed:
                    self._end_run(run, "lapsed")
                    continue
                run.done_ms += passed_ms * run.percent / 100
                if run.saves:
                    run.saved = str(int(run.done_ms) // 1_000 * 1_000)
                if run.stops_ms is not None and self.clock_ms >= run.stops_ms:
                    self._end_run(run, "stopped")
                elif run.work_ms is not None and run.done_ms >= run.work_ms:
                    self._end_run(run, "done")

    def _end_run(self, run: RunningTask, how: str) -> None:
        del self.running[run.task]
        self._highest_run[run.task] = max(
            run.run, self._highest_run.get(run.task, 0)
        )
        self._ended.append((self._next_end, run.task, run.run, how, run.saved))
        self._next_end += 1
        self._changed.set()
        self._note_end(run, how)

    def _note_end(self, run: RunningTask, how: str) -> None:
        now_ms = self._record.now_ms()
        start_ms = self._started_ms[run.task, run.run]
        self._intervals.append(
            Interval(run.task, run.run, self.worker_id, start_ms, now_ms, how)
        )
        self._record.write(
            self.worker_id, f"run {run.task} #{run.run} ends: {how}"
        )

    async def _handle(self, call: Call) -> Answer | None:
        if not self.hears_control and call.method == "POST":
            # The call is lost on its way.
            return None
        if not self.healthy and call.method == "POST":
            return 503, {"clock_ms": self.clock_ms}
        return await self._answer(call)

    async def _answer(self, call: Call) -> Answer:
        if call.method == "GET":
            return 200, {}
        if (
            call.headers.get(
                "x-sardinespool-expected-instance", self.worker_id
            )
            != self.worker_id
        ):
            return 421, {"clock_ms": self.clock_ms}
        body = json.loads(call.body)
        token = body.get("fencing_token", 0)
        if token < self._fence:
            return self._refusal("fence")
        self._fence = token
        match call.path:
            case "/api/run-start":
                return self._start_run(body)
            case "/api/run-stop":
                return self._stop_run(body)
            case "/api/pace":
                run = self.running.get(body["task"])
                if run is None or run.run != body["run"]:
                    return self._refusal("old")
                run.percent = body["percent"]
                return 200, {"clock_ms": self.clock_ms}
            case "/api/hold":
                return await self._hold(body)
            case _:
                return 404, {}

    def _refusal(self, reason: str) -> Answer:
        return 409, {"clock_ms": self.clock_ms, "reason": reason}

    def _extend(self, expires_ms: int) -> None:
        self._hold_until_ms = max(
            self._hold_until_ms,
            min(expires_ms, self.clock_ms + MAX_HOLD_MS),
        )

    def _start_run(self, body: dict[str, Any]) -> Answer:
        name, number = body["task"], body["run"]
        if body["expires_ms"] <= self.clock_ms:
            return self._refusal("late")
        present = self.running.get(name)
        if present is not None and present.run == number:
            self._extend(body["expires_ms"])
            return 200, {"clock_ms": self.clock_ms}
        if number <= self._highest_run.get(name, 0) or present is not None:
            self._extend(body["expires_ms"])
            return self._refusal("old")
        self._extend(body["expires_ms"])
        spec = json.loads(body["task_spec"])
        checkpoint = body.get("checkpoint", "")
        run = RunningTask(
            name,
            number,
            spec.get("work_ms"),
            bool(spec.get("saves")),
            done_ms=float(checkpoint or 0),
            saved=checkpoint,
        )
        self.running[name] = run
        self._started_ms[name, number] = self._record.now_ms()
        self._record.write(self.worker_id, f"run {name} #{number} starts")
        return 200, {"clock_ms": self.clock_ms}

    def _stop_run(self, body: dict[str, Any]) -> Answer:
        name, number = body["task"], body["run"]
        run = self.running.get(name)
        if run is not None and run.run <= number:
            run.stops_ms = self.clock_ms + STOP_MS
        elif run is None:
            self._highest_run[name] = max(
                number, self._highest_run.get(name, 0)
            )
        return 200, {"clock_ms": self.clock_ms}

    async def _hold(self, body: dict[str, Any]) -> Answer:
        cursor = body.get("ack_cursor", 0)
        self._ended = [row for row in self._ended if row[0] > cursor]
        if "expires_ms" in body:
            self._extend(body["expires_ms"])
        wait_ms = min(2_000, body.get("wait_ms", 0))
        if wait_ms and not self._ended:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock_ms,
            "born": self.born,
            "running": [
                [run.task, run.run, run.saved, _percent_of(run), 0]
                for run in self.running.values()
            ],
            "ended": [list(row) for row in self._ended[:ENDS_LISTED_MAX]],
        }


def _percent_of(run: RunningTask) -> int:
    if run.work_ms is None:
        return 100
    return min(99, int(100 * run.done_ms / run.work_ms))
