"""Resident memory, processor time and start time of each program."""

import time
from collections.abc import Sequence

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.figures import Figure
from bench.process_bench.figures import figure_with_limit
from bench.process_bench.figures import Section
from demo.shape import DeploymentShape
from demo.shape import SHAPES

PROGRAMS = ("entry", "scheduler", "store")
STARTS = 5
SETTLE_S = 5.0
OBSERVED_S = 10.0
MEMORY_GOAL_MB = 32.0
READY_GOAL_S = 1.0


def run() -> Section:
    """Measure an idle deployment, then that of the bakery school."""
    figures: list[Figure] = []
    idle = uniform_shape(domains=1, stores=3, entries=1, workers=0)
    with started_cluster(idle) as cluster:
        cluster.configure()
        time.sleep(SETTLE_S)
        figures += _resident_memory(cluster, "idle")
        figures += _processor_shares(cluster, "idle")
        figures += _start_times(cluster)
    bakery: DeploymentShape = SHAPES["bakery"]
    with started_cluster(bakery) as cluster:
        cluster.configure()
        time.sleep(SETTLE_S)
        figures += _resident_memory(cluster, "bakery school")
        figures += _processor_shares(cluster, "bakery school")
    return Section(
        "Memory, processor time and start",
        "Resident memory from /proc, MB of 10^6 bytes, over all processes of"
        f" a program, {SETTLE_S:g} s after the first configuration. Idle: one"
        " domain, 3 stores, no worker. Bakery school: 9 stores, 9 entries, 3"
        " schedulers, 24 simulated workers. Start: SIGKILL, then from the new"
        " process to 200 on /ready, in the running deployment. Share"
        f" of a core over {OBSERVED_S:g} s without requests.",
        tuple(figures),
    )


def _resident_memory(cluster: Cluster, name: str) -> list[Figure]:
    return [
        figure_with_limit(
            f"resident memory, {program}, {name}",
            [
                cluster.processes.resident_mb(process.name)
                for process in cluster.plan.processes_of(program)
            ],
            "MB",
            MEMORY_GOAL_MB,
            1,
        )
        for program in PROGRAMS
    ]


def _processor_shares(cluster: Cluster, name: str) -> list[Figure]:
    names = {
        program: [
            process.name for process in cluster.plan.processes_of(program)
        ]
        for program in PROGRAMS
    }
    time_before_s = {
        process: cluster.processes.processor_time_s(process)
        for process_names in names.values()
        for process in process_names
    }
    started_s = time.monotonic()
    time.sleep(OBSERVED_S)
    elapsed_s = time.monotonic() - started_s
    figures = []
    for program, process_names in names.items():
        shares = [
            100
            * (
                cluster.processes.processor_time_s(process)
                - time_before_s[process]
            )
            / elapsed_s
            for process in process_names
        ]
        figures.append(_share_figure(program, name, shares))
    return figures


def _share_figure(program: str, name: str, shares: Sequence[float]) -> Figure:
    mean = sum(shares) / len(shares)
    return Figure(
        f"share of a core, {program}, {name}",
        f"mean {mean:.1f}%",
        f"{min(shares):.1f} to {max(shares):.1f}%, n = {len(shares)}",
    )


def _start_times(cluster: Cluster) -> list[Figure]:
    figures = []
    for program in PROGRAMS:
        times_s = []
        for number in range(STARTS):
            processes = cluster.plan.processes_of(program)
            process = processes[number % len(processes)]
            cluster.processes.kill(process.name)
            cluster.processes.start(process)
            times_s.append(cluster.wait_ready([process]))
            time.sleep(1.0)
        figures.append(
            figure_with_limit(
                f"start to ready, {program}", times_s, "s", READY_GOAL_S
            )
        )
    return figures
