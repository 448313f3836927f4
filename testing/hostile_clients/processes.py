"""Front and core processes of the platform with lowered limits."""

import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterator

from sardinespool.platform.settings import SETTINGS_VARIABLE

RUN_SCRIPT = pathlib.Path(__file__).parents[2] / "deploy" / "run.py"
STATUS_PORT = 9464
CONTROL_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORT = 8166, 8161, 8167, 7720
WAIT_LIMIT_S = 30.0
MEMORY_MB = 96
"""Limit in the settings; both processes hold 38 MiB at rest."""

FRONT_LISTENERS = ("callers", "readiness", "front status")

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class PlatformProcess:
    """One started process."""

    process: subprocess.Popen[bytes]
    ip: str
    log: pathlib.Path

    def peak_resident_mib(self) -> float:
        """Return the greatest resident memory so far."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise AssertionError("The process has ended.")

    def open_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def check_alive(self) -> None:
        """Fail with the end of the log if the process has ended."""
        if self.process.poll() is not None:
            text = self.log.read_text(errors="replace")[-2000:]
            raise AssertionError(f"The process has ended:\n{text}")


@dataclasses.dataclass(frozen=True)
class Platform:
    """A group of one member, and a front."""

    core: PlatformProcess
    front: PlatformProcess | None

    def address(self, listener: str) -> Address:
        """Return the address of a listener."""
        port = {
            "callers": FRONT_PORT,
            "readiness": READY_PORT,
            "control": CONTROL_PORT,
            "frames": INTERNAL_PORT,
        }.get(listener, STATUS_PORT)
        return (self.process_of(listener).ip, port)

    def process_of(self, listener: str) -> PlatformProcess:
        """Return the process of a listener."""
        if listener not in FRONT_LISTENERS:
            return self.core
        assert self.front is not None
        return self.front


@contextlib.contextmanager
def run_platform(
    folder: pathlib.Path, listener: str, file_descriptors: int = 1_000
) -> Iterator[Platform]:
    """Start a core machine, and a front if the listener is one of a front.

    Both are killed at the end.
    """
    limits = {
        "memory_mb": MEMORY_MB,
        "file_descriptors": file_descriptors,
        "link_mbps": 2,
    }
    # Processes of tests that run at the same time get other addresses.
    prefix = f"127.{os.getpid() >> 8 & 0x7F | 0x40}.{os.getpid() & 0xFF}"
    started = []
    roles = {"core": f"{prefix}.1"}
    if listener in FRONT_LISTENERS:
        roles["front"] = f"{prefix}.2"
    try:
        for role, ip in roles.items():
            started.append(_start(folder / role, role, ip, prefix, limits))
        platform = Platform(started[0], started[1] if started[1:] else None)
        _wait_until_ready(platform, "core status")
        if platform.front is not None:
            _wait_until_ready(platform, "readiness")
        yield platform
    finally:
        for machine in started:
            machine.process.kill()
            machine.process.wait()


def _start(
    folder: pathlib.Path,
    role: str,
    ip: str,
    prefix: str,
    limits: dict[str, int],
) -> PlatformProcess:
    data = folder / "data"
    data.mkdir(parents=True)
    listen = (
        {"control": f"{ip}:{CONTROL_PORT}"}
        if role == "core"
        else {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"}
    )
    settings = {
        "node": role,
        "role": role,
        "ip_address": ip,
        "zone": "centro",
        "listen": listen,
        "internal_port_range": [INTERNAL_PORT, INTERNAL_PORT + 15],
        "seeds": [f"{prefix}.1:{CONTROL_PORT}"],
        "first_start": True,
        "data_directory": str(data) if role == "core" else None,
        "limits": limits,
    }
    path = folder / "settings.yaml"
    path.write_text(json.dumps(settings))
    log = folder / "log.txt"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, str(RUN_SCRIPT), role],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
    return PlatformProcess(process, ip, log)


def ordinary_answer(
    platform: Platform, listener: str, source_ip: str = "127.0.0.1"
) -> tuple[int, bytes]:
    """Return status and body of the answer to an ordinary request.

    The body of a 503 tells the answer of the group from a refusal.
    """
    method, path, body = {
        "callers": ("POST", "/jobs/j1", b'{"steps": []}'),
        "readiness": ("GET", "/", None),
    }.get(listener, ("GET", "/ready", None))
    if listener in ("control", "frames"):
        # The manifest is read from the group.
        listener, path = "control", "/api/configuration/read"
    host, port = platform.address(listener)
    connection = http.client.HTTPConnection(
        host, port, WAIT_LIMIT_S, source_address=(source_ip, 0)
    )
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _wait_until_ready(platform: Platform, listener: str) -> None:
    deadline = time.monotonic() + WAIT_LIMIT_S
    status = 0
    while status != 200 and time.monotonic() < deadline:
        platform.process_of(listener).check_alive()
        with contextlib.suppress(OSError, http.client.HTTPException):
            status, _ = ordinary_answer(platform, listener)
        time.sleep(0.02)
    assert status == 200, f"{listener} answers {status}."
