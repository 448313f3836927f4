"""Lets one of seven workers after the other crash beside lasting tasks."""

import asyncio
import random

from review.standin import case
from review.standin.cluster import CannotRunError

CRASH_INTERVAL_S = 1.5
DOWN_S = 1.0
PLAY_S = 100.0
JOBS = 30
HOST = "nony24.example"


async def play(self: case.Case) -> str:
    """Return what broke LOST, or ""."""
    await self.start([HOST])
    job_ids = [f"{number:016x}" for number in range(1, JOBS + 1)]
    step = {"count": 1, "cpu": 1000, "estimated_ms": 60000}
    job = {"task_spec": "lasts", "steps": [{**step, "long_running": True}]}
    for job_id in job_ids:
        status, _ = await self.request("POST", HOST, job_id, job)
        if status != 200:
            raise CannotRunError("a job was not accepted")
    await asyncio.sleep(2.0)
    while self.record.now_s < PLAY_S:
        worker = random.choice(self.workers)
        if self.trouble:
            worker.crash()
        await asyncio.sleep(DOWN_S)
        if self.trouble:
            await worker.start()
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S)
        for job_id in job_ids:
            _, answer = await self.request("GET", HOST, job_id)
            state = answer.get("state") if answer else None
            failed_ends = [
                row
                for other in self.workers
                for row in other.ends
                if row[1].startswith(job_id) and row[3] == "failed"
            ]
            if state in ("failed", "cancelled", "completed"):
                return (
                    f"lasting job {job_id} is shown as {state}; "
                    f"ends `failed` of its task: {len(failed_ends)}"
                )
    return ""


case.run(__file__, play, workers=7)
