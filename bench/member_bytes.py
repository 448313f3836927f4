"""Measures snapshots of a control group member and the loading of its files.

python -m bench.member_bytes
"""

import pathlib
import tempfile
import time
import tracemalloc

from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages import codec
from sardinespool.messages.commands import Command
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.state import Snapshot
from sardinespool.settings.model import ReplicationSettings
from sardinespool.storage.group_store import GroupStore

BYTES_OF_A_ROUTE = 190
CASES = {
    "2,700 routes": (2_700, 0, 0),
    "22,000 routes (4 MiB)": (22_000, 0, 0),
    "1,500 jobs of 160 tasks": (10, 1_500, 160),
}


def manifest_of(version: int, routes: int) -> PublishManifest:
    """Return a manifest whose source has the size of the platform's."""
    return PublishManifest(
        version=version,
        queues=tuple(
            QueueSpec(
                name=f"route-{number:05d}",
                host="service.example",
                prefix=f"/prefix{number:05d}/",
                pool="pool",
                priority=0,
                failures_max=3,
                stretch=1.5,
                latency_objective_ms=250,
            )
            for number in range(routes)
        ),
        pools=(PoolSpec(name="pool"),),
        source=bytes(routes * BYTES_OF_A_ROUTE),
    )


def machine_of(routes: int, jobs: int, tasks: int) -> ControlMachine:
    """Return a state of this size."""
    machine = ControlMachine()
    machine.apply(Command(proposed_unix_ms=0, body=manifest_of(1, routes)), 1)
    spec = WorkflowSpec(payload="text", steps=(StepSpec(count=tasks),))
    for number in range(jobs):
        accept = AcceptWorkflow(
            job_id=f"j{number}", queue="route-00000", spec=spec
        )
        machine.apply(Command(proposed_unix_ms=0, body=accept), 2 + number)
    return machine


def measure(name: str, routes: int, jobs: int, tasks: int) -> None:
    """Print the figures of one state."""
    machine = machine_of(routes, jobs, tasks)
    started = time.perf_counter()
    data = machine.snapshot()
    encoded = time.perf_counter()
    ControlMachine().restore(data)
    restored = time.perf_counter()
    payload = codec.encode(
        Command(proposed_unix_ms=0, body=manifest_of(2, routes))
    )
    limit_bytes = ReplicationSettings().snapshot_every_bytes
    entries = tuple(
        Entry(index, 1, EntryKind.COMMAND, payload)
        for index in range(2, 3 + limit_bytes // len(payload))
    )
    snapshot = Snapshot(1, 1, Configuration(("a#1",), ("a#1",)), data)
    with tempfile.TemporaryDirectory() as folder:
        store = GroupStore(pathlib.Path(folder))
        store.load()
        store.persist([PersistSnapshot(snapshot), Persist(None, entries)])
        store.close()
        used = sum(p.stat().st_size for p in pathlib.Path(folder).iterdir())
        tracemalloc.start()
        store = GroupStore(pathlib.Path(folder))
        store.load()
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        store.close()
    print(
        f"{name}: state {len(data) / 1e6:.1f} MB, command"
        f" {len(payload) / 1e6:.2f} MB; encoded in"
        f" {(encoded - started) * 1e3:.0f} ms, restored in"
        f" {(restored - encoded) * 1e3:.0f} ms; files {used / 1e6:.1f} MB,"
        f" loaded with {peak / 1e6:.1f} MB"
    )


def main() -> None:
    """Measure all states."""
    for name, sizes in CASES.items():
        measure(name, *sizes)


if __name__ == "__main__":
    main()
