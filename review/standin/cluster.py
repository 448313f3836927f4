"""Machines that run the programs of the deploy file on loopback."""

import asyncio
import json
import os
import pathlib
import secrets
import shutil
import signal
import subprocess
import tempfile
from typing import Any

from review.standin.http import call
from review.standin.record import Record

ROOT = pathlib.Path(__file__).parents[2]
ZONES = ("caldas-centro", "caldas-norte", "caldas-sur")
CONTROL_PORT, FRONT_PORT, READY_PORT = 8166, 8161, 8167
INTERNAL_PORTS = (7720, 7735)
BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": 6000,
    "stop_timeout_ms": 900,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "status_s": 120,
    "lease_ms": 3000,
}


class CannotRunError(Exception):
    """The case could not run."""


class Machine:
    """One machine with one program.

    Parameters
    ----------
    role : str
        ``core`` or ``front``.
    name, ip, zone : str
        Name, loopback address and zone of the machine.
    folder : pathlib.Path
        Temporary folder of the machine.
    seeds : list of str
        Control addresses in its settings.
    record : Record
        Record of the case.
    """

    def __init__(
        self,
        role: str,
        name: str,
        ip: str,
        zone: str,
        folder: pathlib.Path,
        seeds: list[str],
        record: Record,
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self._role = role
        self._folder = folder
        self._data = folder / "data"
        self._seeds = seeds
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Address for workers and operators, or for callers."""
        port = CONTROL_PORT if self._role == "core" else FRONT_PORT
        return f"{self.ip}:{port}"

    def start(self, first_start: bool) -> None:
        """Start the program with the command of the deploy file."""
        self._data.mkdir(parents=True, exist_ok=True)
        settings: dict[str, Any] = {
            "node": self.name,
            "role": self._role,
            "machine_class": self._role,
            "ip_address": self.ip,
            "zone": self.zone,
            "region": "caldas",
            "listen": (
                {"control": f"{self.ip}:{CONTROL_PORT}"}
                if self._role == "core"
                else {
                    "front": f"{self.ip}:{FRONT_PORT}",
                    "ready": f"{self.ip}:{READY_PORT}",
                }
            ),
            "internal_port_range": list(INTERNAL_PORTS),
            "seeds": self._seeds,
            "first_start": first_start,
            "data_directory": (
                str(self._data) if self._role == "core" else None
            ),
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
        }
        path = self._folder / "local.yaml"
        # JSON is YAML.
        path.write_text(json.dumps(settings))
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        with (self._folder / "log.txt").open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "deploy/run.py", self._role],
                cwd=ROOT,
                env={
                    **environment,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "SARDINESPOOL_BOOT": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.line("machine starts", machine=self.name)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None
            self._record.line("machine killed", machine=self.name)

    def lose_disk(self) -> None:
        """Empty the data folder of a stopped program."""
        shutil.rmtree(self._data)
        self._data.mkdir()
        self._record.line("disk lost", machine=self.name)

    def freeze(self) -> None:
        """Let the program stand still."""
        if self._process is not None:
            self._process.send_signal(signal.SIGSTOP)
            self._record.line("machine freezes", machine=self.name)

    def thaw(self) -> None:
        """Let the program go on."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._record.line("machine thaws", machine=self.name)


class Cluster:
    """Three core machines and some front machines.

    Parameters
    ----------
    fronts : int
        Number of front machines.
    record : Record
        Record of the case.
    """

    def __init__(self, fronts: int, record: Record) -> None:
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record = record
        network = f"127.{20 + secrets.randbelow(200)}.{secrets.randbelow(256)}"
        self.network = network
        seeds = [f"{network}.{1 + i}:{CONTROL_PORT}" for i in range(3)]
        self.cores = [
            self._machine("core", i, f"{network}.{1 + i}", seeds)
            for i in range(3)
        ]
        self.fronts = [
            self._machine("front", i, f"{network}.{11 + i}", seeds)
            for i in range(fronts)
        ]
        self._version = 0

    def _machine(
        self, role: str, number: int, ip: str, seeds: list[str]
    ) -> Machine:
        zone = ZONES[number % 3]
        name = f"{role}-{zone}-{1 + number // 3}"
        return Machine(
            role, name, ip, zone, self._folder / name, seeds, self._record
        )

    def control_addresses(self) -> list[str]:
        """Return the addresses of the core machines."""
        return [machine.address for machine in self.cores]

    async def start(self, manifest: dict[str, Any]) -> None:
        """Start all machines and publish the first manifest."""
        for machine in self.cores + self.fronts:
            machine.start(first_start=True)
        if not await self.order(
            "/api/configuration/replace", manifest, limit_s=15.0
        ):
            raise CannotRunError("the first manifest was not accepted")

    async def order(
        self,
        path: str,
        body: Any = None,
        limit_s: float = 4.0,
        first: Machine | None = None,
    ) -> bool:
        """Send an operator's order until a node acknowledges it."""
        machines = list(self.cores)
        if first is not None:
            machines.remove(first)
            machines.insert(0, first)
        end_s = self._record.now_s + limit_s
        while self._record.now_s < end_s:
            for machine in machines:
                status, _ = await call(machine.address, "POST", path, body)
                self._record.line(
                    "order", path=path, to=machine.name, status=status
                )
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def read_manifest(self, timeout_s: float = 1.0) -> int | None:
        """Return the version that some core machine names, or None."""
        for machine in self.cores:
            status, body = await call(
                machine.address,
                "GET",
                "/api/configuration/read",
                timeout_s=timeout_s,
            )
            if status == 200:
                return int(body["version"])
        return None

    def machine_at(self, control_address: str) -> Machine | None:
        """Return the core machine with a control address."""
        for machine in self.cores:
            if machine.address == control_address:
                return machine
        return None

    def stop(self) -> None:
        """Kill all programs and remove the temporary folder."""
        for machine in self.cores + self.fronts:
            machine.kill()
        shutil.rmtree(self._folder, ignore_errors=True)


def manifest_of(version: int, hosts: list[str]) -> dict[str, Any]:
    """Return a manifest with one queue for each host."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "path_prefix": "/jobs/",
                "kind": "unsafe",
                "timeout_ms": 3000,
                "target_latency_ms": 2500,
                "priority": 0,
                "service": "inscripciones",
                "max_attempts": 3,
                "stretch": 2.2,
            }
            for host in hosts
        ],
        "services": [
            {
                "name": "inscripciones",
                "health_path": "/health",
                "connection_limit": 64,
                "protocol": "h1",
                "tls_enabled": False,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
                "rejects_overload": False,
                "spare": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
