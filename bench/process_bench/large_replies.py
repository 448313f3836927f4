"""Replies that grow over the frame limit of 8 MiB."""

import asyncio
import time

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import shape_of
from bench.process_bench.cluster import started_cluster
from bench.process_bench.figures import Figure
from bench.process_bench.figures import Section
from bench.process_bench.standin_fleet import CALL_TIMEOUT_MS
from bench.process_bench.standin_fleet import unix_ms
from demo.caller import fetch
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import SubmitJob

PAYLOAD_BYTES = 60_000
LIMIT_S = 8.0
# Tasks of each job, jobs, bytes of the payload.
CASES = ((10_000, 1, 30), (8_000, 2, 30), (200, 1, PAYLOAD_BYTES))
CHANGES = 300


def run() -> Section:
    """Queue work of several sizes in one domain each."""
    figures = []
    for tasks, jobs, payload_bytes in CASES:
        with started_cluster(shape_of(1, 1, 1, 1)) as cluster:
            cluster.configure()
            asyncio.run(_submit(cluster, tasks, jobs, payload_bytes))
            works = _passes(cluster)
        figures.append(
            _figure(
                f"scheduler passes with {jobs} jobs of {tasks} tasks,"
                f" payload {payload_bytes} bytes",
                works,
            )
        )
    with started_cluster(shape_of(1, 1, 1, 1)) as cluster:
        cluster.configure()
        asyncio.run(_submit(cluster, 1, CHANGES, PAYLOAD_BYTES))
        time.sleep(LIMIT_S)
        found = len(
            cluster.demo.operator.get(
                "tasks", failure_domain="centro", limit="1000"
            )["tasks"]
        )
    figures.append(
        _figure(
            f"domain takes {CHANGES} jobs submitted at once, payload"
            f" {PAYLOAD_BYTES} bytes ({found} taken)",
            found == CHANGES,
        )
    )
    return Section(
        "Replies over the frame limit",
        "A domain of one store and one worker. Whether the scheduler's"
        " passes succeed, and whether the domain takes its jobs,"
        f" {LIMIT_S:g} s after the submission. A reply over 8 MiB is not"
        " sent.",
        tuple(figures),
    )


def _figure(name: str, works: bool) -> Figure:
    return Figure(name, "yes" if works else "no", "one run", "yes", works)


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


def _passes(cluster: Cluster) -> bool:
    scheduler = cluster.plan.of("scheduler")[0]
    time.sleep(LIMIT_S)
    return fetch(scheduler.address, "/ready", timeout_s=2).status == 200
