"""One wide job takes the whole control group out of service."""

import asyncio
import os
import pathlib
import sys
from typing import Any

from review.standin3.deployment import CannotRunError
from review.standin3.deployment import Deployment
from review.standin3.deployment import QUICK
from review.standin3.deployment import SERVICE
from review.standin3.deployment import ZONES
from review.standin3.record import Record
from review.standin3.worker import Interval
from review.standin3.worker import Place
from review.standin3.worker import Worker

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 5
WIDE_STEPS = 5_000
FINISH_S = 14.0
"""`finish_s` of the sites, after which jobs are asked for."""
ASKED_FOR_S = 30.0
WIDE_JOB = QUICK + "00000000000000d1"
SMALL_JOBS = tuple(QUICK + f"{0xD00 + number:016x}" for number in range(3))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def small_job() -> dict[str, Any]:
    """Return a job of one short task."""
    return {
        "task_spec": '{"work_ms": 500}',
        "steps": [
            {
                "count": 1,
                "cpu": 1000,
                "requested_memory_mb": 100,
                "estimated_ms": 500,
            }
        ],
    }


def wide_job() -> dict[str, Any]:
    """Return a job of many independent steps, 130 KB in all."""
    return {
        "task_spec": '{"work_ms": 500}',
        "steps": [{"count": 1, "cpu": 100}] * WIDE_STEPS,
    }


async def play(record: Record) -> int:
    """Play the case; return the exit code."""
    intervals: list[Interval] = []
    workers: list[Worker] = []
    with Deployment(record) as deployment:
        deployment.start()
        try:
            if not await deployment.publish(1, 20.0):
                raise CannotRunError("no manifest was acknowledged")
            for number in range(WORKERS):
                place = Place(
                    f"{deployment.prefix}.{20 + number}",
                    8080,
                    ZONES[number % 3],
                    f"m-{number}",
                    SERVICE,
                    deployment.controls,
                )
                worker = Worker(f"i-{number}", place, record, intervals)
                await worker.start()
                workers.append(worker)
            await asyncio.sleep(2.5)
            for job in SMALL_JOBS:
                if not await deployment.submit(job, small_job(), 10.0):
                    raise CannotRunError("a job was not accepted")
            await asyncio.sleep(2.0)
            if TROUBLE:
                await deployment.ask("POST", WIDE_JOB, wide_job())
            await asyncio.sleep(FINISH_S)
            answers = []
            end_ms = record.now_ms() + ASKED_FOR_S * 1000
            while record.now_ms() < end_ms:
                for job in SMALL_JOBS:
                    answers.append(await deployment.state(job))
                await asyncio.sleep(1.0)
        finally:
            for worker in workers:
                worker.end("end of the case")
        known = answers.count("completed")
        record.write(
            "case", f"{known} of {len(answers)} questions were answered"
        )
        for machine in deployment.cores:
            changes = len(machine.log_lines("leadership changed"))
            record.write(machine.name, f"leadership changed {changes} times")
        return HELD if known else BROKEN


def main() -> None:
    """Play the case and exit with its result."""
    path = pathlib.Path(__file__).parent / "record.txt"
    with Record(path) as record:
        try:
            code = asyncio.run(asyncio.wait_for(play(record), 110))
        except (CannotRunError, TimeoutError, OSError) as error:
            record.write("case", f"can't run: {error!r}")
            code = CANNOT_RUN
        record.write("case", f"exit code {code}")
    sys.exit(code)


main()
