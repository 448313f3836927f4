"""Lightweight load generator over persistent HTTP/1.1 connections."""

import asyncio
import dataclasses
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from bench.process_bench.figures import new_histogram
from bench.process_bench.figures import record_ms
from sardinespool.settings.addresses import split_address

_REQUEST_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Request and the address that it is sent to."""

    address: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    method: str = "GET"
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the request as sent on the wire."""
        lines = [f"{self.method} {self.path} HTTP/1.1", "Host: bench"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or self.method == "POST":
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class Connection:
    """Persistent connection that carries one request at a time."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def exchange(self, request: bytes) -> tuple[int, bytes]:
        """Send a request and return the status and body of the reply."""
        if self._reader is None or self._writer is None:
            host, port = split_address(self._address)
            self._reader, self._writer = await asyncio.open_connection(
                host, port
            )
        self._writer.write(request)
        async with asyncio.timeout(_REQUEST_TIMEOUT_S):
            head = await self._reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            body = await self._reader.readexactly(length)
        return int(head[9:12]), body

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Latencies of requests answered with 200, and request counts."""

    histogram: HdrHistogram = dataclasses.field(default_factory=new_histogram)
    answered: int = 0
    failed: int = 0
    elapsed_s: float = 0.0

    @property
    def per_second(self) -> float:
        """Requests answered with 200 per second."""
        return self.answered / self.elapsed_s


async def closed_loop(
    targets: Sequence[Target], connections: int, seconds: float
) -> LoadResult:
    """Send the next request on each connection after the last reply."""
    result = LoadResult()
    load_started_s = time.perf_counter()
    end_s = load_started_s + seconds

    async def run_connection(number: int) -> None:
        target = targets[number % len(targets)]
        request = target.encode()
        connection = Connection(target.address)
        while (started_s := time.perf_counter()) < end_s:
            await _timed_exchange(connection, request, started_s, result)
        connection.close()

    await asyncio.gather(
        *(run_connection(number) for number in range(connections))
    )
    result.elapsed_s = time.perf_counter() - load_started_s
    return result


async def open_loop(
    targets: Sequence[Target],
    connections: int,
    per_second: float,
    seconds: float,
) -> LoadResult:
    """Send requests at a fixed rate; latencies include local queueing."""
    result = LoadResult()
    due_times: asyncio.Queue[float | None] = asyncio.Queue()

    async def run_connection(number: int) -> None:
        target = targets[number % len(targets)]
        request = target.encode()
        connection = Connection(target.address)
        while (due_s := await due_times.get()) is not None:
            await _timed_exchange(connection, request, due_s, result)
        connection.close()

    connection_tasks = [
        asyncio.create_task(run_connection(number))
        for number in range(connections)
    ]
    load_started_s = time.perf_counter()
    for number in range(int(per_second * seconds)):
        due_s = load_started_s + number / per_second
        wait_s = due_s - time.perf_counter()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        # Latency counts from here: timer lag isn't a delay of the target.
        due_times.put_nowait(time.perf_counter())
    for _ in connection_tasks:
        due_times.put_nowait(None)
    await asyncio.gather(*connection_tasks)
    result.elapsed_s = time.perf_counter() - load_started_s
    return result


async def _timed_exchange(
    connection: Connection,
    request: bytes,
    started_s: float,
    result: LoadResult,
) -> None:
    status, _ = await connection.exchange(request)
    if status == 200:
        result.answered += 1
        record_ms(result.histogram, (time.perf_counter() - started_s) * 1000)
    else:
        result.failed += 1
