"""Throughput of task starts through one domain group."""

import asyncio
import dataclasses
import statistics
import time
from collections.abc import Iterator
from contextlib import contextmanager

from hdrh.histogram import HdrHistogram

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.figures import Figure
from bench.process_bench.figures import new_histogram
from bench.process_bench.figures import percentile_ms
from bench.process_bench.figures import record_ms
from bench.process_bench.figures import Section
from bench.process_bench.figures import spread
from bench.process_bench.simulated_workers import CALL_TIMEOUT_MS
from bench.process_bench.simulated_workers import SimulatedWorker
from bench.process_bench.simulated_workers import unix_ms
from sardinespool.messages.configuration import Change
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.tasks import ListTasks
from sardinespool.messages.tasks import Placement
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import PlaceTasksReply
from sardinespool.messages.tasks import TaskList
from sardinespool.transport.group_client import GroupClient

WORKERS = 200
RUN_MS = 3_000
TASKS_PER_JOB = 2_000
SECONDS = 12
WARM_UP_S = 4
PASS_INTERVAL_S = 0.5
# Offered starts per second; the first is the target's peak of all domains.
OFFERED_RATES = (280, 560, 1120)
GOAL_PER_SECOND = 280
# The goal is met within 5% of the rate.
GOAL_SHARE = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class OfferResult:
    """Result of one offered rate."""

    started_by_second: tuple[float, ...]
    calls: HdrHistogram
    refused: int
    leader_share: float


@contextmanager
def task_start_cluster() -> Iterator[Cluster]:
    """Run a domain group of 3 stores with a team of unlimited quota."""
    shape = uniform_shape(domains=1, stores=3, entries=1, workers=0)
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
    """Offer several rates to a group of 3 stores."""
    with task_start_cluster() as cluster:
        figures: list[Figure] = []
        for offered in OFFERED_RATES:
            result = asyncio.run(
                offer_starts(cluster, offered, WARM_UP_S, SECONDS)
            )
            figures += _figures(offered, result)
    return Section(
        "Task starts",
        f"One domain group of 3 stores, {WORKERS} simulated workers that"
        " send a heartbeat each second through the RPC client, tasks of"
        f" {RUN_MS} ms. Every {PASS_INTERVAL_S:g} s one PlaceTasks with the"
        " offered number; no scheduler runs. A start counts when the worker"
        f" accepts it before its deadline, for {SECONDS} s after a warm-up"
        f" of {WARM_UP_S} s. All processes and the load share the machine.",
        tuple(figures),
    )


async def offer_starts(
    cluster: Cluster, offered: int, warm_up_s: int, seconds: int
) -> OfferResult:
    """Place `offered` tasks per second and count the starts per second."""
    connector = cluster.connector()
    client = cluster.client("centro", connector)
    job_id = f"starts-{offered}-{unix_ms()}"
    placed_total = offered * (seconds + warm_up_s)
    total = placed_total + offered
    global_client = cluster.client("global", connector)
    for first_task in range(0, total, TASKS_PER_JOB):
        job = Job(
            job_id=f"{job_id}-{first_task}",
            team="bench",
            task_count=min(TASKS_PER_JOB, total - first_task),
            failure_domain="centro",
            payload='{"work_ms": 3000}',
        )
        await global_client.call(
            SubmitJob(job=job), unix_ms() + CALL_TIMEOUT_MS
        )
    last_job_task = (total - 1) // TASKS_PER_JOB * TASKS_PER_JOB
    await _wait_accepted(client, f"{job_id}-{last_job_task}")
    workers = [
        SimulatedWorker(f"w{number:04}", "centro", RUN_MS)
        for number in range(WORKERS)
    ]
    heartbeat_tasks = [
        asyncio.create_task(worker.keep_alive(client, 1.0, n / WORKERS))
        for n, worker in enumerate(workers)
    ]
    await asyncio.sleep(1.5)
    calls = new_histogram()
    placing_task = asyncio.create_task(
        _place_tasks(client, job_id, offered, placed_total, workers, calls)
    )
    leader = cluster.leader("centro")
    try:
        await asyncio.sleep(warm_up_s)
        used_s = cluster.processes.processor_time_s(leader)
        started_s = time.monotonic()
        started_by_second = tuple(
            [await _starts_per_second(workers) for _ in range(seconds)]
        )
        elapsed_s = time.monotonic() - started_s
        used_s = cluster.processes.processor_time_s(leader) - used_s
        refused = await placing_task
        # Running tasks must end before the next rate is offered.
        await asyncio.sleep(RUN_MS / 1000 + 2)
    finally:
        for task in (placing_task, *heartbeat_tasks):
            task.cancel()
        await asyncio.gather(
            placing_task, *heartbeat_tasks, return_exceptions=True
        )
        await connector.close()
    return OfferResult(started_by_second, calls, refused, used_s / elapsed_s)


def _figures(offered: int, result: OfferResult) -> list[Figure]:
    rate = statistics.mean(result.started_by_second)
    has_goal = offered == GOAL_PER_SECOND
    calls = result.calls
    return [
        Figure(
            f"starts a second, {offered}/s offered",
            f"mean {rate:.0f}/s",
            "by second: " + spread(result.started_by_second, "/s", 0),
            f"at least {GOAL_PER_SECOND}/s" if has_goal else "",
            rate >= GOAL_SHARE * GOAL_PER_SECOND if has_goal else None,
        ),
        Figure(
            f"PlaceTasks call, {offered}/s offered",
            f"p50 {percentile_ms(calls, 50):.1f} ms, p99"
            f" {percentile_ms(calls, 99):.1f} ms",
            f"n = {calls.get_total_count()}; refused {result.refused}",
        ),
        Figure(
            f"leader's share of a core, {offered}/s offered",
            f"{100 * result.leader_share:.0f}%",
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
    raise TimeoutError("the domain didn't accept the job")


async def _place_tasks(
    client: GroupClient,
    job_id: str,
    per_second: int,
    placed_total: int,
    workers: list[SimulatedWorker],
    calls: HdrHistogram,
) -> int:
    refused = 0
    number = 0
    per_pass = int(per_second * PASS_INTERVAL_S)
    due = time.monotonic()
    while number < placed_total:
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
        started_s = time.perf_counter()
        reply = await client.call(
            PlaceTasks(scheduler_id="bench", placements=placements),
            unix_ms() + CALL_TIMEOUT_MS,
        )
        record_ms(calls, (time.perf_counter() - started_s) * 1000)
        if isinstance(reply, PlaceTasksReply):
            refused += sum(not result.placed for result in reply.results)
        due += PASS_INTERVAL_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return refused


def _task_id(job_id: str, number: int) -> str:
    first_task = number // TASKS_PER_JOB * TASKS_PER_JOB
    return f"{job_id}-{first_task}/{number - first_task}"


async def _starts_per_second(workers: list[SimulatedWorker]) -> float:
    before = sum(worker.started for worker in workers)
    started_s = time.monotonic()
    await asyncio.sleep(1.0)
    count = sum(worker.started for worker in workers) - before
    return count / (time.monotonic() - started_s)
