"""Time from the commit of a configuration to its use in each process."""

import asyncio
import re
import time

import msgspec

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.figures import Figure
from bench.process_bench.figures import figure_with_limit
from bench.process_bench.figures import new_histogram
from bench.process_bench.figures import percentile_ms
from bench.process_bench.figures import record_ms
from bench.process_bench.figures import Section
from bench.process_bench.http_load import Connection
from bench.process_bench.http_load import Target
from demo.settings_files import ProcessSpec
from demo.shape import SHAPES
from sardinespool.messages.configuration import Change

CHANGES = 20
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 20.0
GOAL_S = 1.0
TARGET_S = 20.0
_ENTRY_VERSION = re.compile(rb"entry_configuration_version\{[^}]*\} (\d+)")


def run() -> Section:
    """Measure in the deployment of the bakery school."""
    with started_cluster(SHAPES["bakery"]) as cluster:
        cluster.configure()
        times = [_apply_change(cluster, number) for number in range(CHANGES)]
    figures = []
    for program in ("entry", "scheduler"):
        histogram = new_histogram()
        for by_program in times:
            for elapsed_s in by_program[program]:
                record_ms(histogram, elapsed_s * 1000)
        figures.append(
            Figure(
                f"commit to in force, each {program}",
                f"p50 {percentile_ms(histogram, 50) / 1000:.2f} s, max "
                f"{histogram.get_max_value() / 1e6:.2f} s",
                f"n = {histogram.get_total_count()}",
            )
        )
    slowest_s = [
        max(max(program_times) for program_times in by_program.values())
        for by_program in times
    ]
    figures.append(
        figure_with_limit(
            "commit to in force at every process", slowest_s, "s", GOAL_S
        )
    )
    figures.append(
        figure_with_limit(
            "the same, limit of the target", slowest_s, "s", TARGET_S
        )
    )
    return Section(
        "Configuration",
        f"{CHANGES} approved patches on the bakery school's deployment (9"
        " entries, 3 schedulers, 3 domain groups, one host). From the answer"
        " to the approval, which follows the commit, until each entry shows"
        " the version in /metrics and each scheduler in /dump, polled every"
        f" {POLL_INTERVAL_S * 1000:.0f} ms. An entry follows a version only"
        " after the commit in its domain group.",
        tuple(figures),
    )


def _apply_change(cluster: Cluster, number: int) -> dict[str, list[float]]:
    demo = cluster.demo
    change = Change(op="set", key="limits/bench", value=number + 1)
    receipt = demo.submit_patch(f"bench-{number}", (change,))
    version = demo.approver.post(
        f"patches/{receipt.patch_id}/approve", {"digest": receipt.digest}
    )["version"]
    return asyncio.run(_wait_in_force(cluster, version, time.monotonic()))


async def _wait_in_force(
    cluster: Cluster, version: int, committed_s: float
) -> dict[str, list[float]]:
    async def wait(process: ProcessSpec) -> float:
        path = "/metrics" if process.program == "entry" else "/dump"
        connection = Connection(process.address)
        request = Target(process.address, path).encode()
        try:
            while True:
                _, body = await connection.exchange(request)
                elapsed_s = time.monotonic() - committed_s
                if _version_in_force(process, body) >= version:
                    return elapsed_s
                if elapsed_s > TIMEOUT_S:
                    raise TimeoutError(process.name)
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            connection.close()

    waits = {}
    for program in ("entry", "scheduler"):
        processes = cluster.plan.processes_of(program)
        waits[program] = asyncio.gather(*(wait(p) for p in processes))
    return {program: list(await times) for program, times in waits.items()}


def _version_in_force(process: ProcessSpec, body: bytes) -> int:
    if process.program == "entry":
        match = _ENTRY_VERSION.search(body)
        return int(match.group(1)) if match else 0
    last_pass = msgspec.json.decode(body)["last_pass"]
    return int(last_pass.get("version", 0))
