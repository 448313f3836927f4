"""Costs of replicated state: snapshot, restore, memory and append."""

import pathlib
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

import msgspec

from bench.capacity_bench.domain_group import DOMAIN
from bench.capacity_bench.domain_group import DomainGroup
from bench.capacity_bench.domain_group import START_UNIX_MS
from bench.capacity_bench.slopes import REPETITIONS
from bench.capacity_bench.slopes import Slope
from bench.capacity_bench.slopes import times_us
from bench.capacity_bench.slopes import without_spread
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.groups.global_machine import GlobalMachine
from sardinespool.groups.interfaces import GroupMachine
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import FormGroup
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import PatchReceipt
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.jobs import SyncDomain
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredResponse
from sardinespool.replication.configuration import Configuration
from sardinespool.replication.effects import Persist
from sardinespool.replication.effects import PersistSnapshot
from sardinespool.replication.entries import Entry
from sardinespool.replication.entries import EntryKind
from sardinespool.replication.state import Snapshot
from sardinespool.storage.group_store import GroupStore

TASK_COUNTS = (1_000, 2_000, 4_000, 8_000)
RECORD_COUNTS = (1_000, 2_000, 5_000, 10_000)
JOB_COUNTS = (1_000, 2_000, 5_000, 10_000)
VERSION_COUNTS = (500, 1_000, 2_000, 5_000)
BATCH_SIZES = (1, 10, 50, 100, 500)
ANSWER_BYTES = 300
ENTRY_BYTES = 300
APPENDS_PER_REPETITION = 40
SNAPSHOT_SIZES_MB = (1, 4, 16, 64)


def state_costs() -> list[Slope]:
    """Measure snapshot, restore and memory of each kind of state."""
    slopes: list[Slope] = []
    slopes += _state_slopes(
        "running tasks", TASK_COUNTS, _machine_with_tasks, DomainMachine
    )
    slopes += _state_slopes(
        "request records", RECORD_COUNTS, _machine_with_records, DomainMachine
    )
    slopes += _state_slopes(
        "open jobs (global)",
        JOB_COUNTS,
        _machine_with_jobs,
        _make_global_machine,
    )
    slopes += _state_slopes(
        "finished jobs (global)",
        JOB_COUNTS,
        _machine_with_finished_jobs,
        _make_global_machine,
    )
    slopes += _state_slopes(
        "versions",
        VERSION_COUNTS,
        _machine_with_versions,
        _make_global_machine,
    )
    return slopes


def _make_global_machine(name: str) -> GroupMachine:
    return GlobalMachine()


def _state_slopes(
    name: str,
    sizes: tuple[int, ...],
    build: Callable[[int], GroupMachine],
    make_machine: Callable[[str], GroupMachine],
) -> list[Slope]:
    sizes_bytes, snapshot_us, restore_us, memory = [], [], [], []
    for size in sizes:
        machine = build(size)
        data = machine.snapshot()
        sizes_bytes.append(len(data))
        snapshot_us.append(times_us(machine.snapshot, 3))
        restore_us.append(times_us(partial(_restored, make_machine, data), 3))
        tracemalloc.start()
        copy = _restored(make_machine, data)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del copy
    quantity = name
    return [
        Slope(
            f"snapshot, {name}",
            quantity,
            "bytes",
            sizes,
            without_spread(sizes_bytes),
        ),
        Slope(
            f"taking a snapshot, {name}",
            quantity,
            "us",
            sizes,
            tuple(snapshot_us),
        ),
        Slope(
            f"restoring a snapshot, {name}",
            quantity,
            "us",
            sizes,
            tuple(restore_us),
        ),
        Slope(
            f"memory, {name}", quantity, "bytes", sizes, without_spread(memory)
        ),
    ]


def _restored(
    make_machine: Callable[[str], GroupMachine], data: bytes
) -> GroupMachine:
    machine = make_machine(DOMAIN)
    machine.restore(data)
    return machine


def _machine_with_tasks(count: int) -> GroupMachine:
    return DomainGroup(count // 10, 10).machine


def _machine_with_records(count: int) -> GroupMachine:
    machine = DomainMachine(DOMAIN)
    _apply(machine, FormGroup(group_incarnation="0badcafe"))
    answer = StoredResponse(
        status=200,
        headers=(("Content-Type", "application/json"),),
        body=b"x" * ANSWER_BYTES,
    )
    for number in range(count):
        key = f"centro.0badcafe.{START_UNIX_MS}.{number:016x}"
        attempt_id = f"entry-centro-1-{number:016x}"
        _apply(
            machine,
            BeginRequest(
                key=key,
                body_digest=f"{number:016x}",
                entry_id="entry-centro-1",
                attempt_id=attempt_id,
                send_deadline_unix_ms=START_UNIX_MS + 5_000,
                group_incarnation="0badcafe",
            ),
        )
        _apply(
            machine,
            FinishRequest(key=key, attempt_id=attempt_id, answer=answer),
        )
    return machine


def _machine_with_jobs(count: int, finished: bool = False) -> GroupMachine:
    machine = GlobalMachine()
    _apply(machine, FormGroup(group_incarnation="0badcafe"))
    sync = SyncDomain(
        failure_domain=DOMAIN,
        group_incarnation="1badcafe",
        known_version=0,
        known_job_sequence=0,
    )
    _apply(machine, sync)
    for number in range(count):
        job = Job(
            job_id=f"scholarships-{number:08}",
            team=f"team-{number % 130}",
            payload='{"work_ms": 60000, "input": "list-2026-12"}',
            task_class=f"class-{number % 20}",
        )
        _apply(machine, SubmitJob(job=job))
    # Domains acknowledge changes every 300 ms, so few are outstanding.
    ids = [f"scholarships-{number:08}" for number in range(count)]
    _apply(
        machine,
        msgspec.structs.replace(
            sync,
            known_job_sequence=count,
            finished_jobs=tuple(ids) if finished else (),
        ),
    )
    return machine


def _machine_with_finished_jobs(count: int) -> GroupMachine:
    return _machine_with_jobs(count, finished=True)


def _machine_with_versions(count: int) -> GroupMachine:
    machine = GlobalMachine()
    _apply(machine, FormGroup(group_incarnation="0badcafe"))
    for number in range(count):
        value = {
            "kind": "latency-critical",
            "timeout_ms": 1_000 + number % 100,
            "retry_share": 0.1,
        }
        change = Change(
            op="set", key=f"services/service-{number % 50}", value=value
        )
        receipt = _apply(
            machine,
            SubmitPatch(
                patch_id=f"operator-1-{number:08}",
                base_version=number,
                changes=(change,),
                author="operator-1",
            ),
        )
        assert isinstance(receipt, PatchReceipt)
        _apply(
            machine,
            ApprovePatch(
                patch_id=receipt.patch_id,
                digest=receipt.digest,
                approver="approver-1",
            ),
        )
    return machine


def _apply(machine: GroupMachine, body: CommandBody) -> object:
    command = Command(proposed_unix_ms=START_UNIX_MS, body=body)
    return machine.apply(command, 1)


def appends() -> list[Slope]:
    """Measure synced appends by the entries in a batch."""
    times = []
    with tempfile.TemporaryDirectory(prefix="sardinespool-bench-") as name:
        store = GroupStore(pathlib.Path(name) / "group")
        store.load()
        index = 0
        for size in BATCH_SIZES:
            repetitions = []
            for _ in range(REPETITIONS):
                started = time.perf_counter()
                for _ in range(APPENDS_PER_REPETITION):
                    batch = tuple(
                        Entry(
                            index + n + 1,
                            1,
                            EntryKind.COMMAND,
                            b"x" * ENTRY_BYTES,
                        )
                        for n in range(size)
                    )
                    index += size
                    store.persist([Persist(entries=batch)])
                elapsed_s = time.perf_counter() - started
                repetitions.append(1e6 * elapsed_s / APPENDS_PER_REPETITION)
            times.append(tuple(repetitions))
        store.close()
    return [
        Slope(
            "synced append, wall time",
            "entries of 300 bytes in the batch",
            "us",
            BATCH_SIZES,
            tuple(times),
        )
    ]


def snapshot_writes() -> list[Slope]:
    """Measure how long a snapshot's write blocks the group."""
    times = []
    members = Configuration(("a#1",), ("a#1",))
    with tempfile.TemporaryDirectory(prefix="sardinespool-bench-") as name:
        store = GroupStore(pathlib.Path(name) / "group")
        store.load()
        index = 0
        for size in SNAPSHOT_SIZES_MB:
            repetitions = []
            for _ in range(REPETITIONS):
                index += 1
                entry = Entry(index, 1, EntryKind.COMMAND, b"x")
                store.persist([Persist(entries=(entry,))])
                data = bytes(size * 1_000_000)
                started = time.perf_counter()
                store.persist(
                    [PersistSnapshot(Snapshot(index, 1, members, data))]
                )
                repetitions.append(1e6 * (time.perf_counter() - started))
            times.append(tuple(repetitions))
        store.close()
    return [
        Slope(
            "writing a snapshot, wall time",
            "MB of the snapshot",
            "us",
            SNAPSHOT_SIZES_MB,
            tuple(times),
        )
    ]
