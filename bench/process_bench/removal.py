"""Time from a failure domain's removal to its last task start."""

import time

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import uniform_shape
from bench.process_bench.cluster import wait_until
from bench.process_bench.figures import Figure
from bench.process_bench.figures import figure_with_limit
from bench.process_bench.figures import Section
from demo.standin.records import unix_ms
from demo.steps_configuration import wait_until_in_force

REPETITIONS = 4
PARTITION_REPETITIONS = 2
TASKS = 2_000
WORK_MS = 300
OBSERVED_S = 6.0
# Starts ramp up for 10 s after a domain returns. This many place the removal
# late in the ramp, when starts are frequent.
FIRST_STARTS = 15
GOAL_S = 3.0


def run() -> Section:
    """Measure a connected domain, then a partitioned one."""
    shape = uniform_shape(domains=3, stores=1, entries=1, workers=4)
    connected: list[float] = []
    partitioned: list[float] = []
    start_counts: list[int] = []
    with started_cluster(shape) as cluster:
        version = cluster.configure()
        domain = shape.domain_names[-1]
        for number in range(REPETITIONS):
            connected.append(
                _remove_domain(cluster, domain, number, start_counts)
            )
        for number in range(PARTITION_REPETITIONS):
            partitioned.append(
                _partition_domain(cluster, domain, number, start_counts)
            )
        wait_until_in_force(cluster.demo, version)
    figures = (
        figure_with_limit(
            "removal to the last start, connected", connected, "s", GOAL_S
        ),
        figure_with_limit(
            "partition to the last start, partitioned",
            partitioned,
            "s",
            GOAL_S,
        ),
        Figure(
            "starts in the domain in the 2 s before",
            f"{min(start_counts)} to {max(start_counts)}",
            f"n = {len(start_counts)}",
        ),
    )
    return Section(
        "Failure domain out of service",
        f"3 domains with one store, one entry and 4 workers each; {TASKS}"
        f" tasks of {WORK_MS} ms wait in one domain. Connected: from the"
        " request that sets the domain out of service to the last start in"
        " the workers' records, negative if no start followed. Partitioned:"
        " SIGSTOP of the other domains' stores; the removal can be committed"
        " on the other side only, not before the partition, so the time from"
        " the partition to the last start in the domain is the worst case."
        f" Starts are observed for {OBSERVED_S:g} s afterwards.",
        figures,
    )


def _start_load(cluster: Cluster, domain: str, name: str) -> str:
    demo = cluster.demo
    wait_until_in_force(
        demo, demo.set_failure_domain_state(domain, "in-service")
    )
    job_id = demo.submit_job(
        name,
        task_count=TASKS,
        payload=f'{{"work_ms": {WORK_MS}}}',
        expected_run_ms=WORK_MS,
        failure_domain=domain,
    )
    wait_until(
        lambda: len(demo.job_records("start", job_id)) >= FIRST_STARTS,
        "tasks start",
    )
    return job_id


def _remove_domain(
    cluster: Cluster, domain: str, number: int, start_counts: list[int]
) -> float:
    demo = cluster.demo
    job_id = _start_load(cluster, domain, f"connected-{number}")
    removed_unix_ms = unix_ms()
    version = demo.set_failure_domain_state(domain, "out-of-service")
    time.sleep(OBSERVED_S)
    last_s = _last_start_s(cluster, domain, removed_unix_ms, start_counts)
    demo.operator.post(f"jobs/{job_id}/cancel")
    wait_until_in_force(demo, version)
    return last_s


def _partition_domain(
    cluster: Cluster, domain: str, number: int, start_counts: list[int]
) -> float:
    demo = cluster.demo
    job_id = _start_load(cluster, domain, f"partitioned-{number}")
    other_stores = [
        store.name
        for store in cluster.plan.processes_of("store")
        if store.failure_domain != domain
    ]
    cluster.processes.suspend(other_stores)
    partitioned_unix_ms = unix_ms()
    try:
        time.sleep(OBSERVED_S)
    finally:
        cluster.processes.resume(other_stores)
    last_s = _last_start_s(cluster, domain, partitioned_unix_ms, start_counts)
    cluster.wait_ready(cluster.plan.processes_of("store"))
    demo.operator.post(f"jobs/{job_id}/cancel")
    return last_s


def _last_start_s(
    cluster: Cluster, domain: str, since_unix_ms: int, start_counts: list[int]
) -> float:
    start_times_unix_ms = [
        int(record["unix_ms"])
        for record in cluster.demo.worker_records("start", domain)
        if record["unix_ms"] <= since_unix_ms + 1000 * OBSERVED_S
    ]
    start_counts.append(
        sum(
            since_unix_ms - 2_000 <= started_unix_ms < since_unix_ms
            for started_unix_ms in start_times_unix_ms
        )
    )
    return (max(start_times_unix_ms) - since_unix_ms) / 1000
