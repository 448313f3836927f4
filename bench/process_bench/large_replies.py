"""Behaviour at replies larger than the frame limit of 8 MiB."""

import asyncio
import time

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.figures import Figure
from bench.process_bench.figures import Section
from bench.process_bench.simulated_workers import CALL_TIMEOUT_MS
from bench.process_bench.simulated_workers import unix_ms
from demo.caller import fetch
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import SubmitJob

PAYLOAD_BYTES = 60_000
WAIT_S = 8.0
# Tasks per job, jobs, payload bytes.
CASES = ((10_000, 1, 30), (8_000, 2, 30), (200, 1, PAYLOAD_BYTES))
JOBS_AT_ONCE = 300


def run() -> Section:
    """Queue jobs of several sizes, each in a deployment of its own."""
    figures = []
    for tasks, jobs, payload_bytes in CASES:
        with started_cluster(uniform_shape(1, 1, 1, 1)) as cluster:
            cluster.configure()
            asyncio.run(_submit(cluster, tasks, jobs, payload_bytes))
            succeeded = _passes_succeed(cluster)
        figures.append(
            _yes_no_figure(
                f"scheduler passes with {jobs} jobs of {tasks} tasks,"
                f" payload {payload_bytes} bytes",
                succeeded,
            )
        )
    with started_cluster(uniform_shape(1, 1, 1, 1)) as cluster:
        cluster.configure()
        asyncio.run(_submit(cluster, 1, JOBS_AT_ONCE, PAYLOAD_BYTES))
        time.sleep(WAIT_S)
        accepted_count = len(
            cluster.demo.operator.get(
                "tasks", failure_domain="centro", limit="1000"
            )["tasks"]
        )
    figures.append(
        _yes_no_figure(
            f"domain takes {JOBS_AT_ONCE} jobs submitted at once, payload"
            f" {PAYLOAD_BYTES} bytes ({accepted_count} taken)",
            accepted_count == JOBS_AT_ONCE,
        )
    )
    return Section(
        "Replies over the frame limit",
        "A domain of one store and one worker. Whether the scheduler's"
        " passes succeed, and whether the domain takes its jobs,"
        f" {WAIT_S:g} s after the submission. Replies over 8 MiB"
        " aren't sent.",
        tuple(figures),
    )


def _yes_no_figure(name: str, succeeded: bool) -> Figure:
    return Figure(
        name, "yes" if succeeded else "no", "one run", "yes", succeeded
    )


async def _submit(
    cluster: Cluster, tasks: int, jobs: int, payload_bytes: int
) -> None:
    connector = cluster.connector()
    client = cluster.client("global", connector)
    await asyncio.gather(
        *(
            client.call(
                SubmitJob(
                    job=Job(
                        job_id=f"large-{number}",
                        team=cluster.shape.team,
                        task_count=tasks,
                        processors_millicores=60_000,
                        failure_domain="centro",
                        payload="x" * payload_bytes,
                    )
                ),
                unix_ms() + CALL_TIMEOUT_MS,
            )
            for number in range(jobs)
        )
    )
    await connector.close()


def _passes_succeed(cluster: Cluster) -> bool:
    scheduler = cluster.plan.processes_of("scheduler")[0]
    time.sleep(WAIT_S)
    return fetch(scheduler.address, "/ready", timeout_s=2).status == 200
