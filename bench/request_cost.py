"""Processor time of an ordinary request: ``python -m bench.request_cost``.

Compares the HTTP listener of this tree with that of an earlier commit. Both
run at once, and blocks of requests alternate between them.
"""

import argparse
import contextlib
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[1]
SERVER = """
import asyncio, sys, time
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import HttpListener, ServerLimits

async def handle(received):
    if received.request.method == "GET":
        return HttpResponse(200, (), str(time.process_time_ns()).encode())
    return HttpResponse(200, (("Content-Type", "application/json"),), b"{}")

async def main():
    HttpListener(sys.argv[1], handle, ServerLimits(262_144)).start()
    print("started", flush=True)
    await asyncio.Event().wait()

asyncio.run(main())
"""
BODY_BYTES = 600
"""Size of an ordinary job."""
BLOCK_REQUESTS = 500


class Server:
    """Process with one listener of a source tree."""

    def __init__(self, tree: pathlib.Path, port: int) -> None:
        self._address = ("127.0.0.1", port)
        self._process = subprocess.Popen(
            [sys.executable, "-c", SERVER, f"127.0.0.1:{port}"],
            env={**os.environ, "PYTHONPATH": str(tree / "src")},
            stdout=subprocess.PIPE,
        )
        assert self._process.stdout is not None
        assert self._process.stdout.readline() == b"started\n"
        self._connection = socket.create_connection(self._address)

    def run_block(self, body_bytes: int, reconnect: bool) -> float:
        """Return the processor time of a request in microseconds."""
        head = f"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {body_bytes}"
        request = f"{head}\r\n\r\n".encode() + bytes(body_bytes)
        before_ns = self._processor_time_ns()
        for _ in range(BLOCK_REQUESTS):
            if reconnect:
                with socket.create_connection(self._address) as connection:
                    _exchange(connection, request)
            else:
                _exchange(self._connection, request)
        elapsed_ns = self._processor_time_ns() - before_ns
        return elapsed_ns / 1_000 / BLOCK_REQUESTS

    def resident_kib(self) -> int:
        """Return the resident memory."""
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        raise ProcessLookupError

    def stop(self) -> None:
        """End the process."""
        self._connection.close()
        self._process.kill()
        self._process.wait()

    def _processor_time_ns(self) -> int:
        answer = _exchange(
            self._connection, b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
        )
        return int(answer.partition(b"\r\n\r\n")[2])


def _exchange(connection: socket.socket, request: bytes) -> bytes:
    """Send a request whose answer arrives in one piece."""
    connection.sendall(request)
    answer = connection.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 200 "), answer
    return answer


@contextlib.contextmanager
def _earlier_tree(commit: str) -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ["git", "archive", commit, "src"],
            cwd=ROOT,
            check=True,
            stdout=subprocess.PIPE,
        )
        subprocess.run(
            ["tar", "-x", "-C", folder], input=archive.stdout, check=True
        )
        yield pathlib.Path(folder)


def _free_port() -> int:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port: int = listener.getsockname()[1]
        return port


def main() -> None:
    """Print the paired figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("commit", help="earlier commit to compare with")
    parser.add_argument("--rounds", type=int, default=40)
    arguments = parser.parse_args()
    with _earlier_tree(arguments.commit) as tree:
        servers = [Server(tree, _free_port()), Server(ROOT, _free_port())]
        try:
            for name, body_bytes, reconnect in (
                ("kept connection, 600 bytes", BODY_BYTES, False),
                ("new connection, 600 bytes", BODY_BYTES, True),
                ("kept connection, 262,144 bytes", 262_144, False),
            ):
                _compare(
                    name, servers, body_bytes, reconnect, arguments.rounds
                )
        finally:
            for server in servers:
                server.stop()


def _compare(
    name: str,
    servers: list[Server],
    body_bytes: int,
    reconnect: bool,
    rounds: int,
) -> None:
    ratios = []
    times: list[list[float]] = [[], []]
    for number in range(rounds + 2):
        order = (0, 1) if number % 2 else (1, 0)
        block = [0.0, 0.0]
        for index in order:
            block[index] = servers[index].run_block(body_bytes, reconnect)
        if number >= 2:
            ratios.append(block[1] / block[0])
            for index in order:
                times[index].append(block[index])
    quartiles = statistics.quantiles(ratios, n=4)
    before_kib, after_kib = (server.resident_kib() for server in servers)
    print(
        f"{name}: {statistics.median(times[0]):.1f} us before,"
        f" {statistics.median(times[1]):.1f} us now;"
        f" ratio median {quartiles[1]:.3f},"
        f" quartiles {quartiles[0]:.3f} to {quartiles[2]:.3f},"
        f" {rounds} pairs of {BLOCK_REQUESTS};"
        f" resident {before_kib} KiB before, {after_kib} KiB now",
        flush=True,
    )


if __name__ == "__main__":
    main()
