"""The tasks of four jobs that last fail again and again; other jobs wait."""

import os
import pathlib
import sys
import time

from review.standin2.installation import Installation
from review.standin2.record import Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 8
CPU = 16_000
LASTING_JOBS = 4
LASTING_TASKS = 6
LASTING_CPU = 1_500
FAIL_MS = 400
SOUND_JOBS = 20
SOUND_CPU = 500
FINISH_S = 14.0
IDLE_S = 3.0
IDLE_MARGIN_S = 0.5
WATCH_S = 30.0


def main(folder: pathlib.Path) -> int:
    """Run the case."""
    record = Record(folder / "record.txt")
    installation = Installation(record, WORKERS, [{}, {"priority": 2}])
    try:
        return play(installation, record)
    finally:
        installation.close()


def play(installation: Installation, record: Record) -> int:
    """Hand the jobs in and watch what becomes of the sound ones."""
    if not installation.ready:
        return 2
    workers = installation.workers
    for _ in range(LASTING_JOBS):
        _, status = installation.submit(
            0,
            [
                {
                    "count": LASTING_TASKS,
                    "cpu": LASTING_CPU,
                    "requested_memory_mb": 1024,
                    "estimated_ms": 500,
                    "long_running": True,
                }
            ],
            f"fail={FAIL_MS}" if TROUBLE else "lasts",
        )
        if status != 200:
            return 2
    time.sleep(5.0)
    jobs = []
    for _ in range(SOUND_JOBS):
        path, status = installation.submit(
            1,
            [
                {
                    "count": 1,
                    "cpu": SOUND_CPU,
                    "requested_memory_mb": 256,
                    "estimated_ms": 300,
                }
            ],
            "ms=300",
        )
        if status != 200:
            return 2
        jobs.append(path)
        time.sleep(0.5)
    time.sleep(FINISH_S)
    record.add("the traffic ended 14 s ago, jobs are asked for")
    end = time.monotonic() + WATCH_S
    idle_since: dict[str, float] = {}
    longest: dict[str, float] = {}
    done: set[str] = set()
    used_max = 0.0
    asked_at = 0.0
    while time.monotonic() < end and len(done) < SOUND_JOBS:
        now = time.monotonic()
        used = sum(
            SOUND_CPU if run.spec == "ms=300" else LASTING_CPU
            for pairs in list(workers.open_runs.values())
            for run, _ in pairs
        ) / (WORKERS * CPU)
        used_max = max(used_max, used)
        open_now = {
            task.partition(".")[0]
            for task, pairs in list(workers.open_runs.items())
            if pairs
        }
        if now - asked_at > 1:
            asked_at = now
            done |= {
                path
                for path in jobs
                if path not in done and installation.state(path) == "completed"
            }
        for path in jobs:
            if path.rpartition("/")[2] in open_now or path in done:
                idle_since.pop(path, None)
                continue
            since = idle_since.setdefault(path, now)
            longest[path] = max(longest.get(path, 0.0), now - since)
        time.sleep(0.02)
    record.add(
        f"{len(done)} of {SOUND_JOBS} sound jobs completed;"
        f" capacity in use at most {used_max:.2f}"
    )
    for path in jobs:
        if path not in done:
            record.add(
                f"{path}: {installation.state(path)}, nothing running for"
                f" {longest.get(path, 0.0):.1f} s"
            )
    if used_max < 0.5 and any(
        longest.get(path, 0.0) > IDLE_S + IDLE_MARGIN_S
        for path in jobs
        if path not in done
    ):
        record.add("BROKEN: LOST, for 3 s a job has nothing running")
        return 1
    record.add("held")
    return 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])))
