"""Simulated workers that only send heartbeats."""

import asyncio
import dataclasses
import time

from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import TaskReport
from sardinespool.transport.group_client import GroupClient

CALL_TIMEOUT_MS = 5_000


def unix_ms() -> int:
    """Return the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


@dataclasses.dataclass(slots=True)
class SimulatedWorker:
    """Worker whose tasks complete `run_ms` after their start."""

    worker_id: str
    failure_domain: str
    run_ms: int
    started: int = 0
    completed: int = 0
    _running: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    _ended: dict[str, int] = dataclasses.field(default_factory=dict)

    async def exchange(self, client: GroupClient) -> HeartbeatReply:
        """Send a heartbeat and carry out the directives of the reply."""
        now_unix_ms = unix_ms()
        for task_id, (attempt, end_unix_ms) in list(self._running.items()):
            if now_unix_ms >= end_unix_ms:
                del self._running[task_id]
                self._ended[task_id] = attempt
                self.completed += 1
        reply = await client.call(
            self._heartbeat(now_unix_ms), now_unix_ms + CALL_TIMEOUT_MS
        )
        if not isinstance(reply, HeartbeatReply):
            raise TypeError(type(reply).__name__)
        for task_id in reply.acknowledged_tasks:
            self._ended.pop(task_id, None)
        for directive in reply.directives:
            task_id = directive.task_id
            is_known = task_id in self._running or task_id in self._ended
            if directive.action == "run" and not is_known:
                if unix_ms() < directive.start_deadline_unix_ms:
                    self.started += 1
                    self._running[task_id] = (
                        directive.attempt,
                        unix_ms() + self.run_ms,
                    )
        return reply

    async def keep_alive(
        self, client: GroupClient, interval_s: float, delay_s: float
    ) -> None:
        """Send heartbeats until cancelled."""
        await asyncio.sleep(delay_s)
        while True:
            started_s = time.monotonic()
            await self.exchange(client)
            elapsed_s = time.monotonic() - started_s
            await asyncio.sleep(max(0.0, interval_s - elapsed_s))

    def _heartbeat(self, now_unix_ms: int) -> Heartbeat:
        return Heartbeat(
            worker_id=self.worker_id,
            incarnation=1,
            failure_domain=self.failure_domain,
            rack=f"rack-{self.worker_id[-2:]}",
            processors_millicores=64_000,
            memory_mb=250_000,
            accelerators=2,
            sent_unix_ms=now_unix_ms,
            tasks=(
                *(
                    TaskReport(
                        task_id=task_id,
                        attempt=attempt,
                        state="running",
                        processors_millicores=500,
                        memory_mb=200,
                        slowdown=1.1,
                    )
                    for task_id, (attempt, _) in self._running.items()
                ),
                *(
                    TaskReport(
                        task_id=task_id, attempt=attempt, state="completed"
                    )
                    for task_id, attempt in self._ended.items()
                ),
            ),
        )
