"""Stand-in for a worker of the platform.

It uses only the published HTTP interface: it sends heartbeats to the entries
and serves requests from them. It writes its actions to a record file, so that
tests and the demonstration can compare them with the state of the system.
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
from demo.standin.requests import RequestState
from demo.standin.requests import start_server
from demo.standin.tasks import WorkerTaskTable
from sardinespool.messages.tasks import Heartbeat
from sardinespool.settings.addresses import split_address

HEARTBEAT_INTERVAL_S = 1.0
TASK_ADVANCE_INTERVAL_S = 0.05
# Entries learn of `leaving` at their next synchronization (every 250 ms).
# Requests sent before that are still served.
SERVE_AFTER_LEAVING_S = 1.0
IDLE_BEFORE_EXIT_S = 2.0
# The system evicts the tasks of a leaving worker. After this time, the worker
# stops the remaining ones itself.
STOP_TASKS_AFTER_S = 3.0
LEAVE_TIMEOUT_S = 20.0


class StandInWorker:
    """Stand-in worker that runs tasks and serves requests."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._incarnation = unix_ms()
        self._services = tuple(filter(None, arguments.services.split(",")))
        self._records = RecordFile(pathlib.Path(arguments.record))
        self._tasks = WorkerTaskTable(self._records.append)
        self._request_state = RequestState(
            arguments.worker_id,
            self._services,
            arguments.slots,
            self._records,
        )
        self._heartbeat_sender = HeartbeatSender(
            tuple(arguments.entries.split(",")), arguments.token
        )
        self._wake_event = asyncio.Event()
        self._leaving_since_monotonic: float | None = None
        self._leaving_acknowledged = False

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the work in progress."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._start_leaving)
        host, port = split_address(self._arguments.address)
        server = start_server(self._request_state, host, port)
        self._records.append("worker-start", incarnation=self._incarnation)
        advance_task = asyncio.create_task(self._advance_tasks())
        try:
            while not self._may_exit():
                self._wake_event.clear()
                await self._send_heartbeat()
                await self._wait_for_wake(HEARTBEAT_INTERVAL_S)
        finally:
            advance_task.cancel()
            server.stop()
            await server.close_all_connections()
            self._records.append("worker-stop")
            self._records.close()

    async def _send_heartbeat(self) -> None:
        leaving = self._leaving_since_monotonic is not None
        self._tasks.advance(unix_ms())
        reply = await self._heartbeat_sender.send(
            self._build_heartbeat(leaving)
        )
        if reply is None:
            return
        self._tasks.apply(reply, unix_ms())
        self._leaving_acknowledged = self._leaving_acknowledged or leaving

    def _build_heartbeat(self, leaving: bool) -> Heartbeat:
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
            request_latency_p99_ms=self._request_state.latency_p99_ms(),
            tasks=self._tasks.reports(),
        )

    async def _advance_tasks(self) -> None:
        while True:
            await asyncio.sleep(TASK_ADVANCE_INTERVAL_S)
            self._tasks.advance(unix_ms())
            self._update_leaving()

    def _update_leaving(self) -> None:
        if self._leaving_since_monotonic is None:
            return
        elapsed_s = time.monotonic() - self._leaving_since_monotonic
        if self._leaving_acknowledged and elapsed_s >= SERVE_AFTER_LEAVING_S:
            self._request_state.refusing = True
        if elapsed_s >= STOP_TASKS_AFTER_S:
            self._tasks.stop_all("leaving")

    def _start_leaving(self) -> None:
        if self._leaving_since_monotonic is None:
            self._leaving_since_monotonic = time.monotonic()
            self._records.append("leaving")
            self._wake_event.set()

    def _may_exit(self) -> bool:
        if self._leaving_since_monotonic is None or self._request_state.in_use:
            return False
        now = time.monotonic()
        if now - self._leaving_since_monotonic >= LEAVE_TIMEOUT_S:
            return True
        idle_s = now - max(
            self._leaving_since_monotonic,
            self._request_state.last_request_monotonic,
        )
        return idle_s >= IDLE_BEFORE_EXIT_S and self._tasks.idle

    async def _wait_for_wake(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake_event.wait()
        except TimeoutError:
            return


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command-line arguments."""
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


async def _run_worker(arguments: argparse.Namespace) -> None:
    await StandInWorker(arguments).run()


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a stand-in worker until it has left after a signal."""
    asyncio.run(_run_worker(parse_arguments(arguments)))


if __name__ == "__main__":
    main()
