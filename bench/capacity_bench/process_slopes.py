"""Processor time of real processes by heartbeats a second."""

import asyncio
import time

import msgspec

from bench.capacity_bench.slopes import Slope
from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import shape_of
from bench.process_bench.cluster import started_cluster
from bench.process_bench.http_load import closed_loop
from bench.process_bench.http_load import open_loop
from bench.process_bench.http_load import Target
from bench.process_bench.task_starts import offer
from bench.process_bench.task_starts import starting_cluster
from sardinespool.messages.tasks import Heartbeat

RATES = (50, 100, 200, 400)
REPETITIONS = 3
SECONDS = 3.0
CONNECTIONS = 16
START_RATES = (40, 80, 160, 320)
START_SECONDS = 4


def heartbeats() -> list[Slope]:
    """Send heartbeats through one entry to a group of one store."""
    shape = shape_of(domains=1, stores=1, entries=1, workers=0)
    with started_cluster(shape, ("store", "entry")) as cluster:
        cluster.configure()
        return asyncio.run(_measure(cluster))


async def _measure(cluster: Cluster) -> list[Slope]:
    entry = cluster.plan.of("entry")[0]
    store = cluster.plan.of("store")[0]
    headers = (
        ("Authorization", f"Bearer {cluster.plan.tokens['worker-fleet']}"),
        ("Content-Type", "application/json"),
    )
    targets = [
        Target(
            entry.address,
            "/v1/heartbeat",
            headers,
            "POST",
            msgspec.json.encode(
                Heartbeat(
                    worker_id=f"w{number}",
                    incarnation=1,
                    sent_unix_ms=time.time_ns() // 1_000_000,
                    failure_domain="centro",
                    processors_millicores=64_000,
                    memory_mb=250_000,
                )
            ),
        )
        for number in range(CONNECTIONS)
    ]
    await closed_loop(targets, CONNECTIONS, 1.0)
    shares: dict[str, list[tuple[float, ...]]] = {
        entry.name: [],
        store.name: [],
    }
    for rate in RATES:
        found: dict[str, list[float]] = {name: [] for name in shares}
        for _ in range(REPETITIONS):
            before = {n: cluster.processes.processor_s(n) for n in shares}
            began = time.monotonic()
            sent = await open_loop(targets, CONNECTIONS, rate, SECONDS)
            elapsed_s = time.monotonic() - began
            if sent.failed:
                raise RuntimeError(f"{sent.failed} heartbeats were refused")
            for name, used_s in before.items():
                now_s = cluster.processes.processor_s(name)
                found[name].append(1e6 * (now_s - used_s) / elapsed_s)
        for name, values in found.items():
            shares[name].append(tuple(values))
    by = "heartbeats a second"
    return [
        Slope("entry process", by, "us/s", RATES, tuple(shares[entry.name])),
        Slope("store process", by, "us/s", RATES, tuple(shares[store.name])),
    ]


def starts() -> list[Slope]:
    """Start tasks through a group of three; the leader's processor time."""
    found = []
    with starting_cluster() as cluster:
        for rate in START_RATES:
            shares = [
                asyncio.run(offer(cluster, rate, 2, START_SECONDS))
                for _ in range(2)
            ]
            found.append(tuple(1e6 * item.leader_share for item in shares))
    return [
        Slope(
            "leader of three with 200 heartbeats a second",
            "task starts a second",
            "us/s",
            START_RATES,
            tuple(found),
        )
    ]
