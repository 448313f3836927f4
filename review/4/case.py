"""Counts waiting jobs while the only worker that fits them is unhealthy."""

import asyncio

from review.standin import case
from review.standin.cluster import CannotRunError
from review.standin.http import call

SICK_S = 6.2
VISIBLE_S = 3.0
JOBS = 10
HOST = "nony24.example"


async def play(self: case.Case) -> str:
    """Return what broke MIXED, or ""."""
    await self.start([HOST])
    record = self.record
    worker = self.workers[0]
    if self.trouble:
        worker.unhealthy = True
        record.line("worker unhealthy", id=worker.identity["id"])
    sick_s = record.now_s
    accepted: dict[str, float] = {}
    for number in range(1, JOBS + 1):
        job_id = f"{number:016x}"
        step = {"count": 1, "cpu": 1000, "estimated_ms": 500}
        body = {"task_spec": "0.5", "steps": [{**step, "requirements": "k"}]}
        status, _ = await self.request("POST", HOST, job_id, body)
        if status != 200:
            raise CannotRunError("a job was not accepted")
        accepted[job_id] = record.now_s
    broken = ""
    while record.now_s < sick_s + SICK_S:
        asked_s = record.now_s
        status, answer = await call(
            self.cluster.fronts[0].address,
            "GET",
            "/jobs/",
            None,
            {"Host": HOST, "X-Sardinespool-Request-Deadline": "3000"},
        )
        begun = {
            task.partition(".")[0]
            for other in self.workers
            for _, task, _ in other.starts
        }
        owed = [
            job_id
            for job_id, at_s in accepted.items()
            if job_id not in begun and at_s < asked_s - VISIBLE_S - 2.0
        ]
        record.line("waiting", status=status, answer=answer, owed=len(owed))
        if status == 200 and 2 * answer["waiting"] < len(owed) and not broken:
            broken = (
                f"waiting is {answer['waiting']} while {len(owed)} jobs were "
                f"accepted over {VISIBLE_S + 2:.0f} s before and haven't begun"
            )
        await asyncio.sleep(0.25)
    worker.unhealthy = False
    await asyncio.sleep(4.0)
    return broken


case.run(__file__, play, workers=10, labels={0: "k"})
