"""Jobs whose tasks take ten minutes, with room for all of them."""

import os
import pathlib
import sys
import time

from review.standin2.installation import Installation
from review.standin2.record import Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 4
CPU = 16_000
TASK_CPU = 2_000
JOBS = 8
RUN_MS = 600_000 if TROUBLE else 60_000
FINISH_S = 14.0
IDLE_S = 3.0
IDLE_MARGIN_S = 0.5
WATCH_S = 60.0


def main(folder: pathlib.Path) -> int:
    """Run the case."""
    record = Record(folder / "record.txt")
    installation = Installation(record, WORKERS, [{}])
    try:
        return play(installation, record)
    finally:
        installation.close()


def play(installation: Installation, record: Record) -> int:
    """Hand the jobs in and watch that something of each of them runs."""
    if not installation.ready:
        return 2
    workers = installation.workers
    jobs = []
    for _ in range(JOBS):
        path, status = installation.submit(
            0,
            [
                {
                    "count": 1,
                    "cpu": TASK_CPU,
                    "requested_memory_mb": 1024,
                    "estimated_ms": RUN_MS,
                }
            ],
            f"ms={RUN_MS}",
        )
        if status != 200:
            return 2
        jobs.append(path)
    # Nothing is handed in from here on.
    time.sleep(FINISH_S)
    record.add("jobs are asked for")
    end = time.monotonic() + WATCH_S
    idle_since: dict[str, float] = {}
    longest: dict[str, float] = {}
    done: set[str] = set()
    used_max = 0.0
    asked_at = 0.0
    while time.monotonic() < end and len(done) < JOBS:
        now = time.monotonic()
        open_now = {
            task.partition(".")[0]
            for task, pairs in list(workers.open_runs.items())
            if pairs
        }
        used = len(open_now) * TASK_CPU / (WORKERS * CPU)
        used_max = max(used_max, used)
        if now - asked_at > 1:
            asked_at = now
            states = {path: installation.state(path) for path in jobs}
            done = {path for path in jobs if states[path] == "completed"}
        for path in jobs:
            job = path.rpartition("/")[2]
            if job in open_now or path in done:
                idle_since.pop(path, None)
                continue
            since = idle_since.setdefault(path, now)
            longest[path] = max(longest.get(path, 0.0), now - since)
        time.sleep(0.02)
    stopped = sum(item[4] == "stopped" for item in workers.history)
    record.add(
        f"{len(done)} of {JOBS} jobs completed; {stopped} runs stopped;"
        f" capacity in use at most {used_max:.2f}"
    )
    for path in jobs:
        record.add(
            f"{path}: nothing running for up to {longest.get(path, 0.0):.1f} s"
        )
    if used_max < 0.5 and any(
        idle > IDLE_S + IDLE_MARGIN_S for idle in longest.values()
    ):
        record.add("BROKEN: LOST, for 3 s a job has nothing running")
        return 1
    record.add("held")
    return 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])))
