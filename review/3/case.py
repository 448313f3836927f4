"""Takes a zone back and evacuates it again while a machine is frozen."""

import asyncio

from review.standin import case
from review.standin.cluster import CannotRunError

FREEZE_S = 7.6
EVACUATION_S = 5.0
HOST = "nony24.example"
ZONE = "caldas-norte"


async def play(self: case.Case) -> str:
    """Return what broke EVAC, or ""."""
    await self.start([HOST])
    cluster, record = self.cluster, self.record
    start, finish = (
        f"/api/evacuation/{ZONE}/{verb}" for verb in ("start", "finish")
    )
    worker = self.workers[0]
    await worker.heartbeat(cluster.control_addresses()[0])
    leader = cluster.machine_at(worker.heartbeat_address)
    if leader is None:
        raise CannotRunError("no leader was named")
    frozen = [machine for machine in cluster.cores if machine is not leader][0]
    others = [machine for machine in cluster.cores if machine is not frozen]
    submitting = asyncio.create_task(submit_jobs(self))
    await order(self, start)
    await asyncio.sleep(2.0)
    if self.trouble:
        frozen.freeze()
    frozen_s = record.now_s
    # The operator happens to pick the frozen machine first.
    if not await cluster.order(finish, first=frozen):
        raise CannotRunError("the end of the evacuation was not acknowledged")
    await asyncio.sleep(frozen_s + FREEZE_S - 1.0 - record.now_s)
    if not await cluster.order(start, first=others[0]):
        raise CannotRunError("the evacuation was not acknowledged")
    acknowledged_s = record.now_s
    await asyncio.sleep(frozen_s + FREEZE_S - record.now_s)
    if self.trouble:
        frozen.thaw()
    await asyncio.sleep(acknowledged_s + EVACUATION_S + 6.0 - record.now_s)
    submitting.cancel()
    late = [
        (at_s, task)
        for worker in self.workers
        if worker.identity["zone"] == ZONE
        for at_s, task, _ in worker.starts
        if at_s > acknowledged_s + EVACUATION_S
    ]
    if not late:
        return ""
    return (
        f"{len(late)} starts in {ZONE} over {EVACUATION_S:.0f} s after its "
        f"evacuation was acknowledged at {acknowledged_s:.3f} s; "
        f"the first at {late[0][0]:.3f} s: {late[0][1]}"
    )


async def order(self: case.Case, path: str) -> None:
    """Send an order and wait for its ack."""
    if not await self.cluster.order(path):
        raise CannotRunError(f"{path} was not acknowledged")


async def submit_jobs(self: case.Case) -> None:
    """Submit a job of six short tasks five times a second."""
    number = 0
    while True:
        number += 1
        steps = [{"count": 6, "cpu": 4000, "estimated_ms": 500}]
        body = {"task_spec": "0.5", "steps": steps}
        await self.request("POST", HOST, f"{number:016x}", body)
        await asyncio.sleep(0.2)


case.run(__file__, play, workers=6)
