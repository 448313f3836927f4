"""Planning-pass cost by fleet size: ``python -m bench.placement_cost``."""

import argparse
import math
import pathlib
import random
import statistics
import time

import msgspec

from sardinespool.messages.jobs import Job
from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import TaskView
from sardinespool.messages.tasks import WorkerView
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.placement.settings import PolicySettings

SIZES = ((331, 3_625), (662, 7_250), (1_325, 14_500), (2_650, 29_000))
TARGET_SIZE = (5_300, 58_000)
INTERVAL_MS = 500
STARTS_PER_SECOND = 280
PASSES = 9
BACKLOG = 400
"""Queued tasks, enough to fill a plan up to its limit."""


def make_view(
    worker_count: int, running: int, queued: int, unix_ms: int, seed: int
) -> SchedulingView:
    """Return a view with `running` placed and `queued` unplaced tasks."""
    rng = random.Random(seed)
    workers = tuple(
        WorkerView(
            worker_id=f"w{number}",
            incarnation=1,
            failure_domain="one",
            rack=f"r{number // 8}",
            address="",
            services=("counter",) if number % 2 else (),
            slots=8,
            connections=64,
            processors_millicores=64_000,
            memory_mb=250_000,
            accelerators=2 if number % 3 == 0 else 0,
            leaving=False,
            lost=False,
            lease_deadline_unix_ms=unix_ms + 6000,
            request_latency_p99_ms=10 * rng.uniform(1, 2),
        )
        for number in range(worker_count)
    )
    jobs = [
        Job(
            job_id=f"j{number}",
            team=f"team-{number % 130}",
            processors_millicores=rng.choice((500, 1000, 2000, 4000)),
            memory_mb=rng.choice((500, 2000, 8000)),
            accelerators=int(rng.random() < 0.05),
            finish_deadline_unix_ms=unix_ms + rng.randint(10**4, 10**6),
            task_class=f"class-{number % 20}",
            kind="latency-critical" if number % 2 else "batch",
        )
        for number in range((running + queued) // 8 + 1)
    ]
    tasks = []
    for number in range(running + queued):
        job = jobs[number // 8]
        is_running = number < running
        tasks.append(
            TaskView(
                task_id=f"{job.job_id}/{number % 8}",
                job=job,
                state="running" if is_running else "queued",
                attempt=int(is_running),
                worker_id=f"w{number % worker_count}" if is_running else "",
                placed_unix_ms=unix_ms - 60_000 if is_running else 0,
                queued_unix_ms=unix_ms,
                reserved_processors_millicores=job.processors_millicores,
                reserved_memory_mb=job.memory_mb,
                observed_processors_millicores=500 if is_running else 0,
                observed_memory_mb=500 if is_running else 0,
                observed_slowdown=rng.uniform(1, 2) if is_running else 0.0,
            )
        )
    return SchedulingView(
        failure_domain="one",
        in_service=True,
        start_permit_deadline_unix_ms=unix_ms + 2500,
        unix_ms=unix_ms,
        configuration_version=1,
        quotas={},
        tasks=tuple(tasks),
        workers=workers,
    )


def measure(
    worker_count: int, running: int, queued: int
) -> tuple[float, float, float, int]:
    """Return pass and decoding times in ms, view size in MB, and starts."""
    policy = PlacementPolicy(PolicySettings(), 1)
    times_ms = []
    starts = 0
    view = make_view(worker_count, running, queued, 10**12, 1)
    encoded = msgspec.msgpack.encode(view)
    decoder = msgspec.msgpack.Decoder(SchedulingView)
    started_s = time.process_time()
    decoder.decode(encoded)
    decode_ms = 1000 * (time.process_time() - started_s)
    for number in range(PASSES):
        shifted = msgspec.structs.replace(
            view,
            unix_ms=view.unix_ms + INTERVAL_MS * number,
            start_permit_deadline_unix_ms=view.unix_ms + 10**6,
        )
        started_s = time.process_time()
        plan = policy.plan(shifted)
        times_ms.append(1000 * (time.process_time() - started_s))
        starts = len(plan.placements)
    megabytes = len(encoded) / 1e6
    return statistics.median(times_ms), decode_ms, megabytes, starts


def main() -> None:
    """Measure passes at several sizes, print a table and write it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", type=pathlib.Path, metavar="FILE")
    options = parser.parse_args()
    starts_per_pass = STARTS_PER_SECOND * INTERVAL_MS // 1000
    lines = [
        "| workers | running tasks | starts in a pass | pass, processor ms |"
        " decoding the view, processor ms | size of the view, MB |"
        " starts a second with a backlog |",
        "|---|---|---|---|---|---|---|",
    ]
    log_log_points = []
    for worker_count, running in (*SIZES, TARGET_SIZE):
        queued = starts_per_pass * running // TARGET_SIZE[1]
        pass_ms, decode_ms, megabytes, starts = measure(
            worker_count, running, queued
        )
        backlog_pass_ms, _, _, backlog_starts = measure(
            worker_count, running, BACKLOG
        )
        starts_per_second = (
            1000
            * backlog_starts
            / max(INTERVAL_MS, backlog_pass_ms + decode_ms)
        )
        log_log_points.append((math.log(running), math.log(pass_ms)))
        lines.append(
            f"| {worker_count} | {running} | {starts} | {pass_ms:.1f} |"
            f" {decode_ms:.1f} | {megabytes:.1f} | {starts_per_second:.0f} |"
        )
    slope, _ = statistics.linear_regression(
        [x for x, _ in log_log_points], [y for _, y in log_log_points]
    )
    lines.append("")
    lines.append(
        f"Exponent of the time of a pass by size (log-log): {slope:.2f};"
        " 1 is linear in workers plus tasks, 2 is workers times tasks."
    )
    text = "\n".join(lines)
    print(text)
    if options.write:
        options.write.write_text(
            "# Cost of a planning pass\n\n"
            "Generated by `python -m bench.placement_cost`.\n\n" + text + "\n"
        )


if __name__ == "__main__":
    main()
