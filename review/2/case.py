"""Cuts a worker off while more than 500 of its runs end."""

import asyncio

from review.standin import case
from review.standin.cluster import CannotRunError

CUT_S = 2.0
TASKS = 2_500
RUN_S = 4.0
HOST = "nony24.example"
JOB = "5c0e7a21d94b36f8"


async def play(self: case.Case) -> str:
    """Return what broke TWICE, or ""."""
    await self.start([HOST])
    record, cut = self.record, self.workers[0]
    step = {
        "count": TASKS,
        "cpu": 50,
        "requested_memory_mb": 64,
        "estimated_ms": int(RUN_S * 1000),
        "requirements": "k",
    }
    body = {"task_spec": str(RUN_S), "steps": [step]}
    status, _ = await self.request("POST", HOST, JOB, body)
    if status != 200:
        raise CannotRunError("the job was not accepted")
    async with asyncio.timeout(10.0):
        await cut.first_end.wait()
    record.line("runs", worker=cut.identity["id"], count=len(cut.running))
    if self.trouble:
        cut.cut_off()
    await asyncio.sleep(CUT_S)
    if self.trouble:
        cut.join()
    record.line("ends", worker=cut.identity["id"], count=len(cut.ends))
    await asyncio.sleep(10.0)
    await self.request("GET", HOST, JOB)
    ended_s: dict[str, float] = {}
    noted_s: dict[str, float] = {}
    for worker in self.workers:
        times = {
            task: at_s for at_s, task, how in worker.end_times if how == "done"
        }
        for at_s, row in worker.acknowledged:
            end_s = times.get(row[1], at_s)
            lapsed = any(end_s < lapse < at_s for lapse in worker.lapses_s)
            if row[3] == "done" and not lapsed and row[1] not in ended_s:
                ended_s[row[1]], noted_s[row[1]] = end_s, at_s
    again = sorted(
        (at_s, task, run)
        for worker in self.workers
        for at_s, task, run in worker.starts
        if run > 1 and task in ended_s and at_s > ended_s[task]
    )
    if not again:
        return ""
    at_s, task, run = again[0]
    return (
        f"{len(again)} starts after a run of the task had ended `done`; "
        f"{task} ended at {ended_s[task]:.3f} s, run {run} started at "
        f"{at_s:.3f} s, the end was taken note of at {noted_s[task]:.3f} s"
    )


case.run(__file__, play, workers=7, labels={0: "k", 1: "k"})
