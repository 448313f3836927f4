"""Slopes of the domain group's and the scheduler's work."""

import time
from functools import partial

import msgspec

from bench.capacity_bench.slopes import fixed
from bench.capacity_bench.slopes import Slope
from bench.capacity_bench.slopes import times_us
from bench.capacity_bench.state import DomainGroup
from bench.placement_cost import measure as measure_plan
from sardinespool.messages import codec
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import SlotDemand
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import RecordWorker
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import SchedulerSync

TASKS_BY_WORKER = (1, 5, 11, 22, 44)
WORKERS = (83, 166, 331, 663)
TYPICAL_TASKS = 11
PLACEMENTS = (1, 10, 50, 100)
QUEUED = 140
_ENTRY = SchedulerSync(scheduler_id="scheduler-centro-1")


def _serve(group: DomainGroup, request: bytes) -> None:
    codec.encode(group.call(codec.decode_request(request)))


def heartbeats() -> list[Slope]:
    """Measure a heartbeat by the tasks of its worker."""
    json_bytes, reply_bytes, rpc_bytes, log_bytes = [], [], [], []
    store_us, entry_us, worker_us = [], [], []
    for tasks in TASKS_BY_WORKER:
        group = DomainGroup(20, tasks)
        beat = group.heartbeat(3)
        request = codec.encode(beat)
        reply = group.call(beat)
        sent = msgspec.json.encode(beat)
        answered = msgspec.json.encode(reply)
        rpc_reply = codec.encode(reply)
        json_bytes.append(len(sent))
        reply_bytes.append(len(answered))
        rpc_bytes.append(len(request) + len(rpc_reply))
        body = RecordWorker(heartbeat=beat)
        command = Command(proposed_unix_ms=1_790_000_000_000, body=body)
        log_bytes.append(len(codec.encode(command)))

        def forward(sent: bytes = sent, reply: bytes = rpc_reply) -> None:
            codec.encode(msgspec.json.decode(sent, type=Heartbeat))
            msgspec.json.encode(codec.decode_reply(reply))

        def agent(beat: Heartbeat = beat, answered: bytes = answered) -> None:
            msgspec.json.encode(beat)
            msgspec.json.decode(answered, type=HeartbeatReply)

        store_us.append(times_us(partial(_serve, group, request), 300))
        entry_us.append(times_us(forward, 300))
        worker_us.append(times_us(agent, 300))
    by, sizes = "tasks on the worker", TASKS_BY_WORKER
    return [
        Slope("heartbeat, HTTP body", by, "bytes", sizes, fixed(json_bytes)),
        Slope("heartbeat, HTTP reply", by, "bytes", sizes, fixed(reply_bytes)),
        Slope(
            "heartbeat, RPC both ways", by, "bytes", sizes, fixed(rpc_bytes)
        ),
        Slope("heartbeat in the log", by, "bytes", sizes, fixed(log_bytes)),
        Slope("heartbeat at the leader", by, "us", sizes, tuple(store_us)),
        Slope(
            "heartbeat coded by the entry", by, "us", sizes, tuple(entry_us)
        ),
        Slope(
            "heartbeat coded by the worker", by, "us", sizes, tuple(worker_us)
        ),
    ]


def by_workers() -> list[Slope]:
    """Measure what grows with the workers, 11 tasks on each."""
    beat_us, tick_us, full_us, same_us = [], [], [], []
    full_bytes, same_bytes, view_bytes = [], [], []
    view_us, decode_us = [], []
    for workers in WORKERS:
        group = DomainGroup(workers, TYPICAL_TASKS)
        request = codec.encode(group.heartbeat(3))
        sync = EntrySync(
            entry_id="entry-centro-1",
            address="10.9.0.1:8080",
            known_version=0,
            known_table_version=0,
            demands=tuple(
                SlotDemand(worker_id=name, in_use=3)
                for name in group.machine.workers.workers
            ),
        )
        group.call(sync)
        known = msgspec.structs.replace(
            sync,
            known_version=1,
            known_table_version=group.machine.workers.table_version,
        )
        view = codec.encode(group.call(_ENTRY))
        full_bytes.append(len(codec.encode(group.call(sync))))
        same_bytes.append(
            len(codec.encode(known)) + len(codec.encode(group.call(known)))
        )
        view_bytes.append(len(view))

        first, later = codec.encode(sync), codec.encode(known)
        whole = codec.encode(_ENTRY)
        beat_us.append(times_us(partial(_serve, group, request), 200))
        tick_us.append(times_us(partial(group.service.tick, group.now), 20))
        full_us.append(times_us(partial(_serve, group, first), 10))
        same_us.append(times_us(partial(_serve, group, later), 10))
        view_us.append(times_us(partial(_serve, group, whole), 2))
        decode_us.append(times_us(partial(codec.decode_reply, view), 2))
    by, sizes = "workers of the domain", WORKERS
    return [
        Slope(
            "heartbeat at the leader, 11 tasks",
            by,
            "us",
            sizes,
            tuple(beat_us),
        ),
        Slope(
            "tick of the leader, 10 a second", by, "us", sizes, tuple(tick_us)
        ),
        Slope("EntryView whole", by, "bytes", sizes, fixed(full_bytes)),
        Slope(
            "EntryView whole, at the leader", by, "us", sizes, tuple(full_us)
        ),
        Slope(
            "EntrySync unchanged, both ways",
            by,
            "bytes",
            sizes,
            fixed(same_bytes),
        ),
        Slope(
            "EntrySync unchanged, at the leader",
            by,
            "us",
            sizes,
            tuple(same_us),
        ),
        Slope(
            "SchedulingView, 11 tasks a worker",
            by,
            "bytes",
            sizes,
            fixed(view_bytes),
        ),
        Slope("SchedulingView at the leader", by, "us", sizes, tuple(view_us)),
        Slope("SchedulingView decoded", by, "us", sizes, tuple(decode_us)),
    ]


def plans() -> list[Slope]:
    """Measure a planning pass that starts 140 tasks (280 a second)."""
    found = [
        tuple(
            1000 * measure_plan(workers, workers * TYPICAL_TASKS, QUEUED)[0]
            for _ in range(3)
        )
        for workers in WORKERS
    ]
    return [
        Slope(
            "planning pass with 140 starts",
            "workers of the domain",
            "us",
            WORKERS,
            tuple(found),
        )
    ]


def placements() -> list[Slope]:
    """Measure the command that places tasks."""
    sizes_bytes, apply_us = [], []
    for count in PLACEMENTS:
        group = DomainGroup(200, 0)
        found = []
        for _ in range(5):
            ids = group.accept_tasks(count)
            request = group.placements(ids, 0)
            body = msgspec.structs.replace(
                request, start_deadline_unix_ms=group.now.unix_ms + 2_000
            )
            started = time.perf_counter()
            group.apply(body)
            found.append(1e6 * (time.perf_counter() - started))
        sizes_bytes.append(
            len(codec.encode(Command(proposed_unix_ms=1, body=body)))
        )
        apply_us.append(tuple(found))
    by, sizes = "placements in the command", PLACEMENTS
    return [
        Slope("PlaceTasks in the log", by, "bytes", sizes, fixed(sizes_bytes)),
        Slope("PlaceTasks applied", by, "us", sizes, tuple(apply_us)),
    ]
