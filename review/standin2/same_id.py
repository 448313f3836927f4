"""Two requesters of two queues choose the same ID."""

import os
import pathlib
import sys
import time

from review.standin2.calls import call
from review.standin2.installation import HOST
from review.standin2.installation import Installation
from review.standin2.record import Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
OTHER_HOST = "ficu95.example"
WAIT_S = 30.0


def main(folder: pathlib.Path) -> int:
    """Run the case."""
    record = Record(folder / "record.txt")
    installation = Installation(
        record, 4, [{"host": HOST}, {"host": OTHER_HOST}]
    )
    try:
        return play(installation, record)
    finally:
        installation.close()


def play(installation: Installation, record: Record) -> int:
    """Hand both jobs in, watch them, and cancel one of two others."""
    if not installation.ready:
        return 2
    broken: list[str] = []
    step = {
        "count": 1,
        "cpu": 500,
        "requested_memory_mb": 256,
        "estimated_ms": 1000,
    }
    first, second = "0000000000000001", "0000000000000002"

    path, status = installation.submit(0, [step], "ms=1000", first)
    if status != 200:
        return 2
    other_id = first if TROUBLE else "1000000000000001"
    other, other_status = installation.submit(
        1, [step], "ms=1500", other_id, OTHER_HOST
    )
    state = other_state = ""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end and not (state == other_state == "completed"):
        time.sleep(0.3)
        state = installation.state(path)
        other_state = installation.state(other, OTHER_HOST)
    record.add(f"requester 1: {path} is {state}")
    record.add(f"requester 2: {other} is {other_state}")
    specs = installation.workers.specs
    if other_status == 200 and "ms=1500" not in specs:
        broken.append(
            "MIXED, an accepted job is shown as"
            f" {other_state} and no task of it has run"
        )

    path, status = installation.submit(0, [step], "ms=20000", second)
    other_id = second if TROUBLE else "1000000000000002"
    other, other_status = installation.submit(
        1, [step], "ms=20500", other_id, OTHER_HOST
    )
    time.sleep(1.0)
    deleted, _ = call(
        installation.fronts[0],
        "DELETE",
        path,
        None,
        {"Host": HOST},
        timeout_s=3.0,
    )
    record.add(f"requester 1: DELETE {path}: {deleted}")
    time.sleep(3.5)
    other_state = installation.state(other, OTHER_HOST)
    record.add(f"requester 2: {other} is {other_state}")
    if other_status == 200 and other_state not in ("queued", "running"):
        broken.append(
            f"LOST, a job that nobody has cancelled is shown as {other_state}"
        )
    for text in broken:
        record.add(f"BROKEN: {text}")
    if not broken:
        record.add("held")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])))
