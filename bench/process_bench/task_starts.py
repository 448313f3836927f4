"""Task starts a second through one domain group."""

import asyncio
import dataclasses
import statistics
import time
from collections.abc import Iterator
from contextlib import contextmanager

from hdrh.histogram import HdrHistogram

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import shape_of
from bench.process_bench.cluster import started_cluster
from bench.process_bench.figures import Figure
from bench.process_bench.figures import new_histogram
from bench.process_bench.figures import percentile_ms
from bench.process_bench.figures import record_ms
from bench.process_bench.figures import Section
from bench.process_bench.figures import spread
from bench.process_bench.standin_fleet import CALL_TIMEOUT_MS
from bench.process_bench.standin_fleet import StandinWorker
from bench.process_bench.standin_fleet import unix_ms
from sardinespool.messages.configuration import Change
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.tasks import ListTasks
from sardinespool.messages.tasks import Placement
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import PlaceTasksReply
from sardinespool.messages.tasks import TaskList
from sardinespool.transport.rpc_client import GroupClient

WORKERS = 200
RUN_MS = 3_000
JOB_TASKS = 2_000
SECONDS = 12
WARM_UP_S = 4
PASS_S = 0.5
# Rates offered in turn; the first is the target's peak for all domains.
OFFERED = (280, 560, 1120)
GOAL = 280
# Within 5% of the offered rate counts as carried.
CARRIED_SHARE = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Offered:
    """What one offered rate gave."""

    started_by_second: tuple[float, ...]
    calls: HdrHistogram
    refused: int
    leader_share: float


@contextmanager
def starting_cluster() -> Iterator[Cluster]:
    """Start a domain group of 3 stores with a team without limits."""
    shape = shape_of(domains=1, stores=3, entries=1, workers=0)
    quota = Change(
        op="set",
        key="teams/bench",
        value={
            "processors_millicores": 10**9,
            "memory_mb": 10**9,
            "accelerators": 10**6,
            "running_tasks": 10**6,
        },
    )
    with started_cluster(shape, ("store", "entry")) as cluster:
        cluster.configure(quota)
        yield cluster


def run() -> Section:
    """Offer several rates to a group of three stores."""
    with starting_cluster() as cluster:
        figures: list[Figure] = []
        for offered in OFFERED:
            found = asyncio.run(offer(cluster, offered, WARM_UP_S, SECONDS))
            figures += _figures(offered, found)
    return Section(
        "Task starts",
        f"One domain group of 3 stores, {WORKERS} workers that exist as"
        " heartbeats once a second through the RPC client, tasks of"
        f" {RUN_MS} ms. Every {PASS_S:g} s one PlaceTasks with the offered"
        " number; no scheduler runs. A start counts when the worker takes it"
        f" before its deadline; counted for {SECONDS} s after"
        f" {WARM_UP_S} s. All parts and the load share the machine.",
        tuple(figures),
    )


async def offer(
    cluster: Cluster, offered: int, warm_up_s: int, seconds: int
) -> Offered:
    """Offer so many starts a second for `seconds` after the warm-up."""
    connector = cluster.connector()
    client = cluster.client("centro", connector)
    job_id = f"starts-{offered}-{unix_ms()}"
    last = offered * (seconds + warm_up_s)
    total = last + offered
    submit = cluster.client("global", connector)
    for part in range(0, total, JOB_TASKS):
        job = Job(
            job_id=f"{job_id}-{part}",
            team="bench",
            task_count=min(JOB_TASKS, total - part),
            failure_domain="centro",
            payload='{"work_ms": 3000}',
        )
        await submit.call(SubmitJob(job=job), unix_ms() + CALL_TIMEOUT_MS)
    last_part = (total - 1) // JOB_TASKS * JOB_TASKS
    await _wait_accepted(client, f"{job_id}-{last_part}")
    workers = [
        StandinWorker(f"w{number:04}", "centro", RUN_MS)
        for number in range(WORKERS)
    ]
    beats = [
        asyncio.create_task(worker.keep_alive(client, 1.0, n / WORKERS))
        for n, worker in enumerate(workers)
    ]
    await asyncio.sleep(1.5)
    calls = new_histogram()
    placing = asyncio.create_task(
        _place(client, job_id, offered, last, workers, calls)
    )
    leader = cluster.leader("centro")
    try:
        await asyncio.sleep(warm_up_s)
        used_s = cluster.processes.processor_s(leader)
        began = time.monotonic()
        found = tuple([await _second(workers) for _ in range(seconds)])
        elapsed_s = time.monotonic() - began
        used_s = cluster.processes.processor_s(leader) - used_s
        refused = await placing
        # Tasks that still run must end before the next rate.
        await asyncio.sleep(RUN_MS / 1000 + 2)
    finally:
        for task in (placing, *beats):
            task.cancel()
        await asyncio.gather(placing, *beats, return_exceptions=True)
        await connector.close()
    return Offered(found, calls, refused, used_s / elapsed_s)


def _figures(offered: int, found: Offered) -> list[Figure]:
    rate = statistics.mean(found.started_by_second)
    goal = offered == GOAL
    calls = found.calls
    return [
        Figure(
            f"starts a second, {offered}/s offered",
            f"mean {rate:.0f}/s",
            "by second: " + spread(found.started_by_second, "/s", 0),
            f"at least {GOAL}/s" if goal else "",
            rate >= CARRIED_SHARE * GOAL if goal else None,
        ),
        Figure(
            f"PlaceTasks call, {offered}/s offered",
            f"p50 {percentile_ms(calls, 50):.1f} ms, p99"
            f" {percentile_ms(calls, 99):.1f} ms",
            f"n = {calls.get_total_count()}; refused {found.refused}",
        ),
        Figure(
            f"leader's share of a core, {offered}/s offered",
            f"{100 * found.leader_share:.0f}%",
            "one run",
        ),
    ]


async def _wait_accepted(client: GroupClient, job_id: str) -> None:
    for _ in range(200):
        reply = await client.call(
            ListTasks(job_id=job_id, limit=1), unix_ms() + CALL_TIMEOUT_MS
        )
        if isinstance(reply, TaskList) and reply.tasks:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("the domain did not accept the job")


async def _place(
    client: GroupClient,
    job_id: str,
    per_second: int,
    last: int,
    workers: list[StandinWorker],
    calls: HdrHistogram,
) -> int:
    refused = 0
    number = 0
    per_pass = int(per_second * PASS_S)
    due = time.monotonic()
    while number < last:
        placements = tuple(
            Placement(
                task_id=_task_id(job_id, n),
                worker_id=workers[n % len(workers)].worker_id,
                expected_attempt=0,
                processors_millicores=1_000,
                memory_mb=256,
            )
            for n in range(number, number + per_pass)
        )
        number += per_pass
        began = time.perf_counter()
        reply = await client.call(
            PlaceTasks(scheduler_id="bench", placements=placements),
            unix_ms() + CALL_TIMEOUT_MS,
        )
        record_ms(calls, (time.perf_counter() - began) * 1000)
        if isinstance(reply, PlaceTasksReply):
            refused += sum(not result.placed for result in reply.results)
        due += PASS_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return refused


def _task_id(job_id: str, number: int) -> str:
    part = number // JOB_TASKS * JOB_TASKS
    return f"{job_id}-{part}/{number - part}"


async def _second(workers: list[StandinWorker]) -> float:
    before = sum(worker.started for worker in workers)
    began = time.monotonic()
    await asyncio.sleep(1.0)
    count = sum(worker.started for worker in workers) - before
    return count / (time.monotonic() - began)
