"""Deployment of real processes for the benchmarks."""

import dataclasses
import http.client
import os
import pathlib
import signal
import tempfile
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

from demo.caller import Caller
from demo.caller import fetch
from demo.context import DemoContext
from demo.processes import ProcessSet
from demo.settings_files import DeploymentPlan
from demo.settings_files import ProcessSpec
from demo.settings_files import write_settings
from demo.shape import DeploymentShape
from demo.shape import DomainShape
from demo.shape import SHAPES
from demo.steps_configuration import initial_changes
from demo.steps_configuration import wait_until_in_force
from sardinespool.messages.configuration import Change
from sardinespool.programs.command_line.client import OperatorClient
from sardinespool.settings.loading import load_settings
from sardinespool.settings.model import ClusterSettings
from sardinespool.settings.model import OperatorSettings
from sardinespool.settings.model import StoreSettings
from sardinespool.transport.connector import Connector
from sardinespool.transport.group_client import GroupClient

READY_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.005
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def uniform_shape(
    domains: int, stores: int, entries: int, workers: int
) -> DeploymentShape:
    """Return a deployment with the same process counts in each domain."""
    names = ("centro", "norte", "sur")[:domains]
    return dataclasses.replace(
        SHAPES["bakery"],
        domains=tuple(
            DomainShape(name, stores, entries, workers) for name in names
        ),
        global_members=domains,
    )


class MeasuredProcesses(ProcessSet):
    """Started processes that can be suspended and measured."""

    def __enter__(self) -> "MeasuredProcesses":
        return self

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._children[name].pid

    def suspend(self, names: Iterable[str]) -> None:
        """Suspend processes with SIGSTOP."""
        for name in names:
            self._children[name].send_signal(signal.SIGSTOP)

    def resume(self, names: Iterable[str]) -> None:
        """Resume processes with SIGCONT."""
        for name in names:
            self._children[name].send_signal(signal.SIGCONT)

    def resident_mb(self, name: str) -> float:
        """Return the resident memory in MB (10^6 bytes)."""
        text = pathlib.Path(f"/proc/{self.pid(name)}/statm").read_text()
        return int(text.split()[1]) * PAGE_BYTES / 1e6

    def processor_time_s(self, name: str) -> float:
        """Return the processor time used so far, in seconds."""
        text = pathlib.Path(f"/proc/{self.pid(name)}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


class Cluster:
    """Started deployment with clients for its groups and operators."""

    def __init__(
        self,
        shape: DeploymentShape,
        plan: DeploymentPlan,
        processes: MeasuredProcesses,
    ) -> None:
        self.shape = shape
        self.plan = plan
        self.processes = processes
        self.demo = DemoContext(
            shape=shape,
            plan=plan,
            processes=processes,
            operator=_operator_client(plan, "operator-1"),
            approver=_operator_client(plan, "approver-1"),
            caller=Caller(shape.service, plan.tokens["caller-1"]),
        )
        first = plan.processes_of("store")[0].name
        settings = load_settings(plan.folder / f"{first}.yaml", StoreSettings)
        self.settings: ClusterSettings = settings.cluster

    def connector(self) -> Connector:
        """Return a connector for the calls of the benchmark process."""
        return Connector(self.settings, "entry", "bench")

    def client(self, group: str, connector: Connector) -> GroupClient:
        """Return an RPC client of a group."""
        addresses = {
            store.name: store.address
            for store in self.settings.stores
            if group in store.groups
        }
        return GroupClient(group, addresses, connector)

    def wait_ready(self, processes: Iterable[ProcessSpec]) -> float:
        """Wait until all processes are ready; return the time in seconds."""
        started_s = time.monotonic()
        for process in processes:
            wait_until(
                partial(_is_ready, process),
                f"{process.name} is ready",
            )
        return time.monotonic() - started_s

    def configure(self, *extra_changes: Change) -> int:
        """Apply the initial configuration and return its version."""
        receipt = self.demo.submit_patch(
            "first", (*initial_changes(self.demo), *extra_changes)
        )
        return self.approve(receipt.patch_id, receipt.digest)

    def approve(self, patch_id: str, digest: str) -> int:
        """Approve a patch, wait until it is in force, return the version."""
        version = self.demo.approver.post(
            f"patches/{patch_id}/approve", {"digest": digest}
        )["version"]
        wait_until_in_force(self.demo, version)
        return int(version)

    def leader(self, group: str) -> str:
        """Return the name of the store that leads a group."""

        def probe() -> str:
            for store in self.plan.processes_of("store"):
                try:
                    answer = fetch(store.address, "/ready", timeout_s=1)
                except (OSError, http.client.HTTPException):
                    continue
                leader = str(answer.json()["leaders"].get(group, ""))
                if leader:
                    return leader.partition("#")[0]
            return ""

        return str(wait_until(probe, f"{group} has a leader"))

    def process(self, name: str) -> ProcessSpec:
        """Return a process by its name."""
        return next(p for p in self.plan.processes if p.name == name)


def wait_until(probe: Callable[[], Any], condition: str) -> Any:
    """Poll until `probe` returns a true value, and return it.

    Raises
    ------
    TimeoutError
        The value was still false after 40 s.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        value = probe()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(
        f"timed out after {READY_TIMEOUT_S:g} s waiting until {condition}"
    )


@contextmanager
def started_cluster(
    shape: DeploymentShape, programs: tuple[str, ...] = ()
) -> Iterator[Cluster]:
    """Run a deployment, or only the given programs of it."""
    with tempfile.TemporaryDirectory(prefix="sardinespool-bench-") as name:
        folder = pathlib.Path(name)
        plan = write_settings(shape, folder)
        with MeasuredProcesses(folder) as processes:
            cluster = Cluster(shape, plan, processes)
            started = [
                process
                for process in plan.processes
                if not programs or process.program in programs
            ]
            for process in started:
                processes.start(process)
            cluster.wait_ready(p for p in started if p.program != "worker")
            wait_until(
                lambda: (
                    _listed_worker_count(cluster)
                    >= sum(p.program == "worker" for p in started)
                ),
                "every worker is listed",
            )
            yield cluster


def _listed_worker_count(cluster: Cluster) -> int:
    if not cluster.shape.worker_count:
        return 0
    return sum(
        len(
            cluster.demo.operator.get("workers", failure_domain=domain_name)[
                "workers"
            ]
        )
        for domain_name in cluster.shape.domain_names
    )


def _is_ready(process: ProcessSpec) -> bool:
    try:
        return fetch(process.address, "/ready", timeout_s=2).status == 200
    except (OSError, http.client.HTTPException):
        return False


def _operator_client(plan: DeploymentPlan, name: str) -> OperatorClient:
    entries = tuple(process.address for process in plan.processes_of("entry"))
    return OperatorClient(
        OperatorSettings(entries=entries, token=plan.tokens[name])
    )
