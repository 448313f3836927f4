"""Stand-in for a worker of the platform.

It speaks the published HTTP interface only: heartbeats to the entries, and
requests from them. What it does is written to a record file, so that tests
and the demonstration can compare it with what the system says.
"""

import argparse
import asyncio
import pathlib
import signal
import time
from collections.abc import Sequence

from demo.standin.heartbeats import HeartbeatSender
from demo.standin.records import RecordFile
from demo.standin.records import unix_ms
from demo.standin.requests import listen
from demo.standin.requests import RequestState
from demo.standin.tasks import TaskTable
from sardinespool.messages.tasks import Heartbeat
from sardinespool.settings.addresses import split_address

HEARTBEAT_INTERVAL_S = 1.0
TASK_INTERVAL_S = 0.05
# Entries see `leaving` at their next synchronisation (250 ms). Requests that
# were on their way until then are still served.
SERVE_AFTER_LEAVING_S = 1.0
IDLE_BEFORE_EXIT_S = 2.0
# The system evicts the tasks of a leaving worker; without any order by then
# the worker stops them itself.
STOP_TASKS_AFTER_S = 3.0
LEAVE_LIMIT_S = 20.0


class WorkerStandin:
    """One worker."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._incarnation = unix_ms()
        self._services = tuple(filter(None, arguments.services.split(",")))
        self._records = RecordFile(pathlib.Path(arguments.record))
        self._tasks = TaskTable(self._records.append)
        self._requests = RequestState(
            arguments.worker_id,
            self._services,
            arguments.slots,
            self._records,
        )
        self._sender = HeartbeatSender(
            tuple(arguments.entries.split(",")), arguments.token
        )
        self._wake = asyncio.Event()
        self._leaving_since: float | None = None
        self._leaving_known = False

    async def run(self) -> None:
        """Serve until SIGTERM and the end of what is in progress."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._leave)
        host, port = split_address(self._arguments.address)
        server = listen(self._requests, host, port)
        self._records.append("worker-start", incarnation=self._incarnation)
        timers = asyncio.create_task(self._advance_tasks())
        try:
            while not self._may_exit():
                self._wake.clear()
                await self._exchange()
                await self._sleep(HEARTBEAT_INTERVAL_S)
        finally:
            timers.cancel()
            server.stop()
            await server.close_all_connections()
            self._records.append("worker-stop")
            self._records.close()

    async def _exchange(self) -> None:
        leaving = self._leaving_since is not None
        self._tasks.advance(unix_ms())
        reply = await self._sender.send(self._heartbeat(leaving))
        if reply is None:
            return
        self._tasks.apply(reply, unix_ms())
        self._leaving_known = self._leaving_known or leaving

    def _heartbeat(self, leaving: bool) -> Heartbeat:
        arguments = self._arguments
        return Heartbeat(
            worker_id=arguments.worker_id,
            incarnation=self._incarnation,
            failure_domain=arguments.failure_domain,
            rack=arguments.rack,
            address=arguments.address if self._services else "",
            services=self._services,
            slots=arguments.slots,
            connections=arguments.connections,
            processors_millicores=arguments.processors_millicores,
            memory_mb=arguments.memory_mb,
            accelerators=arguments.accelerators,
            leaving=leaving,
            sent_unix_ms=unix_ms(),
            request_latency_p99_ms=self._requests.latency_p99_ms(),
            tasks=self._tasks.reports(),
        )

    async def _advance_tasks(self) -> None:
        while True:
            await asyncio.sleep(TASK_INTERVAL_S)
            self._tasks.advance(unix_ms())
            self._follow_leaving()

    def _follow_leaving(self) -> None:
        if self._leaving_since is None:
            return
        elapsed_s = time.monotonic() - self._leaving_since
        if self._leaving_known and elapsed_s >= SERVE_AFTER_LEAVING_S:
            self._requests.refusing = True
        if elapsed_s >= STOP_TASKS_AFTER_S:
            self._tasks.stop_all("leaving")

    def _leave(self) -> None:
        if self._leaving_since is None:
            self._leaving_since = time.monotonic()
            self._records.append("leaving")
            self._wake.set()

    def _may_exit(self) -> bool:
        if self._leaving_since is None or self._requests.in_use:
            return False
        now = time.monotonic()
        if now - self._leaving_since >= LEAVE_LIMIT_S:
            return True
        idle_s = now - max(
            self._leaving_since, self._requests.last_request_monotonic
        )
        return idle_s >= IDLE_BEFORE_EXIT_S and self._tasks.idle

    async def _sleep(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("worker-id", "failure-domain", "address", "entries"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--token", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--rack", default="")
    parser.add_argument("--services", default="")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--processors-millicores", type=int, default=64_000)
    parser.add_argument("--memory-mb", type=int, default=250_000)
    parser.add_argument("--accelerators", type=int, default=0)
    return parser.parse_args(arguments)


async def _run(arguments: argparse.Namespace) -> None:
    await WorkerStandin(arguments).run()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one worker until SIGTERM."""
    asyncio.run(_run(parse_arguments(arguments)))


if __name__ == "__main__":
    main()
