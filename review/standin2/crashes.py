"""Workers crash, one at a time, and a sound job that lasts is under way."""

import os
import pathlib
import sys
import time

from review.standin2.installation import Installation
from review.standin2.record import Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 8
DOWN_S = 4.5
"""``for_s`` of ``srv_crash``; one of 8 workers is a share of 0.125."""
TASKS = 6
AGE_S = 4.0
"""Time that a task is at work before its worker crashes."""
CRASHES = 5
JUDGED_S = 75.0 if TROUBLE else 45.0


def main(folder: pathlib.Path) -> int:
    """Run the case."""
    record = Record(folder / "record.txt")
    installation = Installation(record, WORKERS, [{}])
    try:
        return play(installation, record)
    finally:
        installation.close()


def play(installation: Installation, record: Record) -> int:
    """Hand a job in and let its worker crash again and again."""
    if not installation.ready:
        return 2
    workers = installation.workers
    path, status = installation.submit(
        0,
        [
            {
                "count": TASKS,
                "cpu": 3200,
                "requested_memory_mb": 6400,
                "estimated_ms": 500,
                "long_running": True,
            }
        ],
        "lasts",
    )
    if status != 200:
        return 2
    crashes = 0
    state = ""
    last = ""
    while record.now() < JUDGED_S and state != "failed":
        at_work = [
            pair
            for task, pairs in list(workers.open_runs.items())
            for pair in pairs
            if task.endswith(".0.0.0")
        ]
        for run, worker in at_work:
            old = time.monotonic() - run.started > AGE_S
            if TROUBLE and crashes < CRASHES and old:
                crashes += 1
                workers.call(lambda worker=worker: worker.crash("srv_crash"))
                time.sleep(DOWN_S)
                workers.do(worker.start())
        time.sleep(0.1)
        state = installation.state(path)
        if state != last:
            record.add(f"client: GET {path}: {state}")
            last = state
    own = [item for item in workers.history if item[4] == "failed"]
    record.add(f"{crashes} crashes; runs that ended failed: {len(own)}")
    if state == "failed" and not own:
        record.add("BROKEN: LOST, a job is shown as failed without cause")
        return 1
    record.add(f"held, the job is {state}")
    return 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])))
