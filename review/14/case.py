"""A job runs after its cancelling was acknowledged."""

import asyncio
import os
import pathlib
import sys

from review.standin3.deployment import BOUNDS
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
FREEZE_S = 4.5
PATIENCE_S = 0.5
"""The requester leaves after this time, before its time budget of 3 s."""
WORK_MS = 2_000
JOB = QUICK + "00000000000000f1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


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
            if (await deployment.ask("GET", QUICK, front=1) or (0,))[0] != 200:
                raise CannotRunError("the second front doesn't answer")
            front = deployment.fronts[0]
            frozen_ms = record.now_ms()
            if TROUBLE:
                front.pause()
                await asyncio.sleep(0.1)
            step = {"count": 1, "cpu": 1000, "estimated_ms": WORK_MS}
            body = {
                "task_spec": f'{{"work_ms": {WORK_MS}}}',
                "steps": [step],
            }
            await deployment.ask("POST", JOB, body, patience_s=PATIENCE_S)
            answer = await deployment.ask("DELETE", JOB, front=1)
            acked_ms = record.now_ms()
            if answer is None or answer[0] not in (200, 410):
                raise CannotRunError("the cancelling was not acknowledged")
            await asyncio.sleep(
                FREEZE_S - (record.now_ms() - frozen_ms) / 1000
            )
            if TROUBLE:
                front.wake()
            await asyncio.sleep(5.0)
            await deployment.state(JOB)
        finally:
            for worker in workers:
                worker.end("end of the case")
        late = [
            interval
            for interval in intervals
            if interval.start_ms > acked_ms + BOUNDS["cancel_ms"]
        ]
        for interval in late:
            record.write(
                "case",
                f"{interval.task} starts {interval.start_ms - acked_ms} ms"
                " after the ack of its cancelling",
            )
        return BROKEN if late else HELD


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
