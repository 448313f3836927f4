"""Costs of the domain group and the scheduler."""

import time
from functools import partial

import msgspec

from bench.capacity_bench.domain_group import DomainGroup
from bench.capacity_bench.slopes import Slope
from bench.capacity_bench.slopes import times_us
from bench.capacity_bench.slopes import without_spread
from bench.placement_cost import measure as measure_plan
from sardinespool.messages import codec
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import SlotDemand
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import RecordWorker
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import SchedulerSync

TASKS_PER_WORKER = (1, 5, 11, 22, 44)
WORKER_COUNTS = (83, 166, 331, 663)
TYPICAL_TASKS = 11
PLACEMENT_COUNTS = (1, 10, 50, 100)
QUEUED_TASKS = 140
_SCHEDULER_SYNC = SchedulerSync(scheduler_id="scheduler-centro-1")


def _serve(group: DomainGroup, request: bytes) -> None:
    codec.encode(group.call(codec.decode_request(request)))


def heartbeats() -> list[Slope]:
    """Measure the cost of a heartbeat by the tasks of its worker."""
    json_bytes, reply_bytes, rpc_bytes, log_bytes = [], [], [], []
    store_us, entry_us, worker_us = [], [], []
    for tasks in TASKS_PER_WORKER:
        group = DomainGroup(20, tasks)
        heartbeat = group.heartbeat(3)
        request = codec.encode(heartbeat)
        reply = group.call(heartbeat)
        request_json = msgspec.json.encode(heartbeat)
        reply_json = msgspec.json.encode(reply)
        rpc_reply = codec.encode(reply)
        json_bytes.append(len(request_json))
        reply_bytes.append(len(reply_json))
        rpc_bytes.append(len(request) + len(rpc_reply))
        body = RecordWorker(heartbeat=heartbeat)
        command = Command(proposed_unix_ms=1_790_000_000_000, body=body)
        log_bytes.append(len(codec.encode(command)))

        def code_as_entry(
            request_json: bytes = request_json, reply: bytes = rpc_reply
        ) -> None:
            codec.encode(msgspec.json.decode(request_json, type=Heartbeat))
            msgspec.json.encode(codec.decode_reply(reply))

        def code_as_worker(
            heartbeat: Heartbeat = heartbeat, reply_json: bytes = reply_json
        ) -> None:
            msgspec.json.encode(heartbeat)
            msgspec.json.decode(reply_json, type=HeartbeatReply)

        store_us.append(times_us(partial(_serve, group, request), 300))
        entry_us.append(times_us(code_as_entry, 300))
        worker_us.append(times_us(code_as_worker, 300))
    quantity, sizes = "tasks on the worker", TASKS_PER_WORKER
    return [
        Slope(
            "heartbeat, HTTP body",
            quantity,
            "bytes",
            sizes,
            without_spread(json_bytes),
        ),
        Slope(
            "heartbeat, HTTP reply",
            quantity,
            "bytes",
            sizes,
            without_spread(reply_bytes),
        ),
        Slope(
            "heartbeat, RPC both ways",
            quantity,
            "bytes",
            sizes,
            without_spread(rpc_bytes),
        ),
        Slope(
            "heartbeat in the log",
            quantity,
            "bytes",
            sizes,
            without_spread(log_bytes),
        ),
        Slope(
            "heartbeat at the leader", quantity, "us", sizes, tuple(store_us)
        ),
        Slope(
            "heartbeat codec, entry",
            quantity,
            "us",
            sizes,
            tuple(entry_us),
        ),
        Slope(
            "heartbeat codec, worker",
            quantity,
            "us",
            sizes,
            tuple(worker_us),
        ),
    ]


def costs_by_workers() -> list[Slope]:
    """Measure the costs that grow with the workers, with 11 tasks on each."""
    heartbeat_us, tick_us, full_us, unchanged_us = [], [], [], []
    full_bytes, unchanged_bytes, view_bytes = [], [], []
    view_us, decode_us = [], []
    for workers in WORKER_COUNTS:
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
        unchanged_sync = msgspec.structs.replace(
            sync,
            known_version=1,
            known_table_version=group.machine.workers.table_version,
        )
        view = codec.encode(group.call(_SCHEDULER_SYNC))
        full_bytes.append(len(codec.encode(group.call(sync))))
        unchanged_bytes.append(
            len(codec.encode(unchanged_sync))
            + len(codec.encode(group.call(unchanged_sync)))
        )
        view_bytes.append(len(view))

        full_request, unchanged_request = (
            codec.encode(sync),
            codec.encode(unchanged_sync),
        )
        view_request = codec.encode(_SCHEDULER_SYNC)
        heartbeat_us.append(times_us(partial(_serve, group, request), 200))
        tick_us.append(times_us(partial(group.service.tick, group.now), 20))
        full_us.append(times_us(partial(_serve, group, full_request), 10))
        unchanged_us.append(
            times_us(partial(_serve, group, unchanged_request), 10)
        )
        view_us.append(times_us(partial(_serve, group, view_request), 2))
        decode_us.append(times_us(partial(codec.decode_reply, view), 2))
    quantity, sizes = "workers of the domain", WORKER_COUNTS
    return [
        Slope(
            "heartbeat at the leader, 11 tasks",
            quantity,
            "us",
            sizes,
            tuple(heartbeat_us),
        ),
        Slope(
            "tick of the leader, 10 a second",
            quantity,
            "us",
            sizes,
            tuple(tick_us),
        ),
        Slope(
            "EntryView whole",
            quantity,
            "bytes",
            sizes,
            without_spread(full_bytes),
        ),
        Slope(
            "EntryView whole, at the leader",
            quantity,
            "us",
            sizes,
            tuple(full_us),
        ),
        Slope(
            "EntrySync unchanged, both ways",
            quantity,
            "bytes",
            sizes,
            without_spread(unchanged_bytes),
        ),
        Slope(
            "EntrySync unchanged, at the leader",
            quantity,
            "us",
            sizes,
            tuple(unchanged_us),
        ),
        Slope(
            "SchedulingView, 11 tasks each",
            quantity,
            "bytes",
            sizes,
            without_spread(view_bytes),
        ),
        Slope(
            "SchedulingView at the leader",
            quantity,
            "us",
            sizes,
            tuple(view_us),
        ),
        Slope(
            "SchedulingView decoded", quantity, "us", sizes, tuple(decode_us)
        ),
    ]


def plans() -> list[Slope]:
    """Measure a planning pass that starts 140 tasks (280 per second)."""
    times = [
        tuple(
            1000
            * measure_plan(workers, workers * TYPICAL_TASKS, QUEUED_TASKS)[0]
            for _ in range(3)
        )
        for workers in WORKER_COUNTS
    ]
    return [
        Slope(
            "planning pass with 140 starts",
            "workers of the domain",
            "us",
            WORKER_COUNTS,
            tuple(times),
        )
    ]


def placements() -> list[Slope]:
    """Measure the size and the application of PlaceTasks commands."""
    sizes_bytes, apply_us = [], []
    for count in PLACEMENT_COUNTS:
        group = DomainGroup(200, 0)
        times = []
        for _ in range(5):
            ids = group.accept_tasks(count)
            request = group.placements(ids, 0)
            body = msgspec.structs.replace(
                request, start_deadline_unix_ms=group.now.unix_ms + 2_000
            )
            started = time.perf_counter()
            group.apply(body)
            times.append(1e6 * (time.perf_counter() - started))
        sizes_bytes.append(
            len(codec.encode(Command(proposed_unix_ms=1, body=body)))
        )
        apply_us.append(tuple(times))
    quantity, sizes = "placements in the command", PLACEMENT_COUNTS
    return [
        Slope(
            "PlaceTasks in the log",
            quantity,
            "bytes",
            sizes,
            without_spread(sizes_bytes),
        ),
        Slope("PlaceTasks applied", quantity, "us", sizes, tuple(apply_us)),
    ]
