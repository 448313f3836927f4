"""From taking a failure domain out to its last task start."""

import time

from bench.process_bench.cluster import Cluster
from bench.process_bench.cluster import shape_of
from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import wait_until
from bench.process_bench.figures import Figure
from bench.process_bench.figures import limited
from bench.process_bench.figures import Section
from demo.standin.records import unix_ms
from demo.steps_configuration import wait_in_force

REPETITIONS = 4
CUT_REPETITIONS = 2
TASKS = 2_000
WORK_MS = 300
OBSERVED_S = 6.0
# Starts ramp up for 10 s after a domain returned; removed late in the ramp,
# when starts are frequent.
FIRST_STARTS = 15
GOAL_S = 3.0


def run() -> Section:
    """Measure a connected domain, then one that is cut off."""
    shape = shape_of(domains=3, stores=1, entries=1, workers=4)
    connected: list[float] = []
    cut: list[float] = []
    starts: list[int] = []
    with started_cluster(shape) as cluster:
        version = cluster.configure()
        domain = shape.domain_names[-1]
        for number in range(REPETITIONS):
            connected.append(_remove(cluster, domain, number, starts))
        for number in range(CUT_REPETITIONS):
            cut.append(_cut(cluster, domain, number, starts))
        wait_in_force(cluster.demo, version)
    figures = (
        limited(
            "take-out to the last start, connected", connected, "s", GOAL_S
        ),
        limited("cut to the last start, cut off", cut, "s", GOAL_S),
        Figure(
            "starts in the domain in the last 2 s before",
            f"{min(starts)} to {max(starts)}",
            f"n = {len(starts)}",
        ),
    )
    return Section(
        "Failure domain taken out",
        f"3 domains with one store, one entry and 4 workers each; {TASKS}"
        f" tasks of {WORK_MS} ms wait in one domain. Connected: from the"
        " request that sets the domain out of service to the last start in"
        " the workers' records, negative if no start followed. Cut off:"
        " SIGSTOP of the other domains' stores, by process id; the take-out"
        " can be committed on the other side only, at the cut at the"
        " earliest, so the time from the cut to the last start in the cut-off"
        " domain is the longest possible. Watched for"
        f" {OBSERVED_S:g} s after it.",
        figures,
    )


def _busy(cluster: Cluster, domain: str, name: str) -> str:
    demo = cluster.demo
    wait_in_force(demo, demo.set_domain(domain, "in-service"))
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


def _remove(
    cluster: Cluster, domain: str, number: int, starts: list[int]
) -> float:
    demo = cluster.demo
    job_id = _busy(cluster, domain, f"connected-{number}")
    removed_unix_ms = unix_ms()
    version = demo.set_domain(domain, "out-of-service")
    time.sleep(OBSERVED_S)
    last_s = _last_start(cluster, domain, removed_unix_ms, starts)
    demo.operator.post(f"jobs/{job_id}/cancel")
    wait_in_force(demo, version)
    return last_s


def _cut(
    cluster: Cluster, domain: str, number: int, starts: list[int]
) -> float:
    demo = cluster.demo
    job_id = _busy(cluster, domain, f"cut-{number}")
    others = [
        store.name
        for store in cluster.plan.of("store")
        if store.failure_domain != domain
    ]
    cluster.processes.freeze(others)
    cut_unix_ms = unix_ms()
    try:
        time.sleep(OBSERVED_S)
    finally:
        cluster.processes.resume(others)
    last_s = _last_start(cluster, domain, cut_unix_ms, starts)
    cluster.wait_ready(cluster.plan.of("store"))
    demo.operator.post(f"jobs/{job_id}/cancel")
    return last_s


def _last_start(
    cluster: Cluster, domain: str, since_unix_ms: int, starts: list[int]
) -> float:
    records = [
        int(record["unix_ms"])
        for record in cluster.demo.worker_records("start", domain)
        if record["unix_ms"] <= since_unix_ms + 1000 * OBSERVED_S
    ]
    starts.append(
        sum(since_unix_ms - 2_000 <= at < since_unix_ms for at in records)
    )
    return (max(records) - since_unix_ms) / 1000
