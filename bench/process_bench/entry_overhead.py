"""Seat checks through an entry compared with direct calls."""

import asyncio
import statistics

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.figures import Figure
from bench.process_bench.figures import percentile_ms
from bench.process_bench.figures import Section
from bench.process_bench.figures import spread
from bench.process_bench.http_load import closed_loop
from bench.process_bench.http_load import LoadResult
from bench.process_bench.http_load import open_loop
from bench.process_bench.http_load import Target

REPETITIONS = 3
SECONDS_PER_RUN = 3.0
WORKERS = 4
SLOTS = 8
SHARE_GOAL = 0.5


def run() -> Section:
    """Measure latency and throughput of seat checks."""
    shape = uniform_shape(domains=1, stores=1, entries=1, workers=WORKERS)
    with started_cluster(shape) as cluster:
        cluster.configure()
        return asyncio.run(_measure(cluster))


async def _measure(cluster: Cluster) -> Section:
    token = cluster.plan.tokens["caller-1"]
    path = "/v1/services/enrolment/seats/pan"
    entry = Target(
        cluster.plan.processes_of("entry")[0].address,
        path,
        (("Authorization", f"Bearer {token}"),),
    )
    workers = [
        Target(worker.address, "/enrolment/seats/pan")
        for worker in cluster.plan.processes_of("worker")
    ]
    entry_name = cluster.plan.processes_of("entry")[0].name
    await closed_loop([entry], SLOTS, 1.0)
    direct_rates, entry_rates, costs_ms = [], [], []
    for _ in range(REPETITIONS):
        direct = await closed_loop(workers[:1], SLOTS, SECONDS_PER_RUN)
        direct_rates.append(direct.per_second)
        time_before_s = cluster.processes.processor_time_s(entry_name)
        through = await closed_loop([entry], 2 * SLOTS, SECONDS_PER_RUN)
        entry_time_s = (
            cluster.processes.processor_time_s(entry_name) - time_before_s
        )
        costs_ms.append(1000 * entry_time_s / through.answered)
        entry_rates.append(through.per_second)
    half_rate = statistics.median(entry_rates) / 2
    pairs = []
    failed = 0
    for _ in range(REPETITIONS):
        direct = await open_loop(
            workers[:1], SLOTS, half_rate, SECONDS_PER_RUN
        )
        through = await open_loop(
            [entry], 2 * SLOTS, half_rate, SECONDS_PER_RUN
        )
        failed += direct.failed + through.failed
        pairs.append((direct, through))
    shares = [
        entry_rate / direct_rate
        for entry_rate, direct_rate in zip(
            entry_rates, direct_rates, strict=True
        )
    ]
    share = statistics.median(shares)
    figures = [
        _latency("direct", [direct for direct, _ in pairs], 50),
        _latency("direct", [direct for direct, _ in pairs], 99),
        _latency("through the entry", [through for _, through in pairs], 50),
        _latency("through the entry", [through for _, through in pairs], 99),
        _overhead(pairs, 50),
        _overhead(pairs, 99),
        _rate("requests a second, direct, one endpoint", direct_rates),
        _rate("requests a second, one entry", entry_rates),
        Figure(
            "share of the direct rate",
            f"{share:.2f}",
            spread(shares, "", 2),
            f"at least {SHARE_GOAL:g}",
            share >= SHARE_GOAL,
        ),
        Figure(
            "processor time of the entry for a request",
            f"{statistics.median(costs_ms):.2f} ms",
            spread(costs_ms, "ms"),
        ),
        Figure("requests not answered with 200", str(failed), ""),
    ]
    return Section(
        "Entry overhead",
        f"One entry, {WORKERS} simulated endpoints with {SLOTS} slots, seat"
        " checks without delay. Rates: closed loop over"
        f" {SLOTS} connections directly to one endpoint and over"
        f" {2 * SLOTS} to the entry. Times: open loop at half of the entry's"
        f" rate ({half_rate:.0f} requests/s) to either, {SECONDS_PER_RUN:g} s"
        " each.",
        tuple(figures),
    )


def _latency(
    name: str, results: list[LoadResult], percentile: float
) -> Figure:
    values = [
        percentile_ms(result.histogram, percentile) for result in results
    ]
    return Figure(
        f"p{percentile:g} {name}, 50% load",
        f"{statistics.median(values):.2f} ms",
        spread(values, "ms"),
    )


def _overhead(
    pairs: list[tuple[LoadResult, LoadResult]], percentile: float
) -> Figure:
    values = [
        percentile_ms(through.histogram, percentile)
        - percentile_ms(direct.histogram, percentile)
        for direct, through in pairs
    ]
    return Figure(
        f"entry overhead at p{percentile:g}",
        f"{statistics.median(values):.2f} ms",
        spread(values, "ms"),
    )


def _rate(name: str, values: list[float]) -> Figure:
    return Figure(
        name, f"{statistics.median(values):.0f}/s", spread(values, "/s", 0)
    )
