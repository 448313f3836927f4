"""Time from the submission of an urgent job to its start."""

import time
from functools import partial

from bench.process_bench.cluster import started_cluster
from bench.process_bench.cluster import wait_until
from bench.process_bench.figures import figure_with_limit
from bench.process_bench.figures import Section
from demo.shape import SHAPES
from demo.standin.records import unix_ms

JOBS = 15
WORK_MS = 200
GOAL_S = 4.5
# Not a multiple of the heartbeat and pass intervals, to vary the phase.
PAUSE_S = 0.37


def run() -> Section:
    """Measure in the idle deployment of the bakery school."""
    times_s = []
    with started_cluster(SHAPES["bakery"]) as cluster:
        cluster.configure()
        demo = cluster.demo
        for number in range(JOBS):
            submitted_unix_ms = unix_ms()
            job_id = demo.submit_job(
                f"urgent-{number}",
                priority="urgent",
                payload=f'{{"work_ms": {WORK_MS}}}',
                expected_run_ms=WORK_MS,
            )
            (start, *_) = wait_until(
                partial(demo.job_records, "start", job_id),
                "the urgent task starts",
            )
            times_s.append((start["unix_ms"] - submitted_unix_ms) / 1000)
            time.sleep(PAUSE_S)
    return Section(
        "Urgent work",
        f"{JOBS} urgent jobs of one task, one after the other, on the idle"
        " deployment of the bakery school (24 workers): from the operator's"
        " request to the start in the worker's record.",
        (
            figure_with_limit(
                "urgent job, submission to start", times_s, "s", GOAL_S
            ),
        ),
    )
