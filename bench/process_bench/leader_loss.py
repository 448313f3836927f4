"""Time from the loss of a group's leader to the next commit."""

import asyncio
import time

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.figures import figure_with_limit
from bench.process_bench.figures import Section
from sardinespool.messages.requests import BeginRequest

REPETITIONS = 8
SETTLE_S = 3.0
GOAL_S = 2.0
TIMEOUT_MS = 20_000


def run() -> Section:
    """Kill the leader of a group of 3 stores repeatedly."""
    shape = uniform_shape(domains=1, stores=3, entries=1, workers=0)
    with started_cluster(shape) as cluster:
        cluster.configure()
        times_s = asyncio.run(_measure(cluster))
    return Section(
        "Leader loss",
        "A domain group of 3 stores. From SIGKILL of the leader"
        " until a request record sent at once is committed. The killed store"
        f" restarts with its data, and {SETTLE_S:g} s later the next"
        " repetition begins.",
        (
            figure_with_limit(
                "leader loss to the next commit", times_s, "s", GOAL_S
            ),
        ),
    )


async def _measure(cluster: Cluster) -> list[float]:
    connector = cluster.connector()
    client = cluster.client("centro", connector)
    times_s = []
    for number in range(REPETITIONS):
        await client.call(
            _begin_request(f"before-{number}"), _deadline_unix_ms()
        )
        name = cluster.leader("centro")
        killed_s = time.monotonic()
        cluster.processes.kill(name)
        await client.call(
            _begin_request(f"after-{number}"), _deadline_unix_ms()
        )
        times_s.append(time.monotonic() - killed_s)
        process = cluster.process(name)
        cluster.processes.start(process)
        cluster.wait_ready([process])
        await asyncio.sleep(SETTLE_S)
    await connector.close()
    return times_s


def _begin_request(name: str) -> BeginRequest:
    return BeginRequest(
        key=name,
        body_digest="digest",
        entry_id="bench",
        attempt_id=name,
        send_deadline_unix_ms=_deadline_unix_ms(),
    )


def _deadline_unix_ms() -> int:
    return time.time_ns() // 1_000_000 + TIMEOUT_MS
