"""Test oracle that finds waiting tasks beside free capacity."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from testing.dispatch.fake_worker import FakeWorker
from testing.dispatch.oracle import Oracle
from testing.dispatch.oracle import WORKER_MILLICORES

IDLE_LIMIT_MS = 3_000
"""Limit for a job with nothing running while a task's turn has come."""
LONG_RUNNING_GRACE_MS = 6_000
"""Time after its last run from which a long-running task counts."""
CALM_MS = 4_000
"""Time without faults before the idle time counts."""
USED_SHARE_MAX = 0.5
"""Share of the reserved capacity from which no task counts as idle."""


class IdleOracle(Oracle):
    """Also records how long tasks wait beside free capacity.

    It knows what workers run, and the state that users read of a job.

    Parameters
    ----------
    is_final : callable
        Whether the job with the given id is shown as ended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_final: Callable[[str], bool] = lambda job_id: False
        self.longest_idle_ms = 0
        self._disturbed_ms = 0
        self._holders: collections.defaultdict[str, set[str]] = (
            collections.defaultdict(set)
        )
        self._last_run_ms: dict[str, int] = {}
        self._idle_since_ms: dict[str, int] = {}
        self._reported: set[str] = set()

    def disturbed(self) -> None:
        """Record a fault: idle time counts from `CALM_MS` after it."""
        self._disturbed_ms = self.now_ms

    def step_of(self, task: str) -> tuple[WorkflowSpec, StepSpec, int]:
        """Return the step of a task; best-effort tasks reserve nothing."""
        spec, step, position = super().step_of(task)
        if step.uses_leftover_processors:
            step = msgspec.structs.replace(step, processors_millicores=0)
        return spec, step, position

    def started(
        self, task: str, worker_id: str, sent_ms: int | None = None
    ) -> None:
        super().started(task, worker_id, sent_ms)
        self._holders[task].add(worker_id)

    def ended(
        self, task: str, run: int, worker_id: str, outcome: RunOutcome
    ) -> None:
        super().ended(task, run, worker_id, outcome)
        self._end_run(task, worker_id)

    def acknowledged(self, task: str, outcome: RunOutcome) -> None:
        # Long-running tasks are run again without a limit.
        if not self.step_of(task)[1].long_running:
            super().acknowledged(task, outcome)

    def worker_down(self, worker_id: str) -> None:
        super().worker_down(worker_id)
        for task in list(self._holders):
            if worker_id in self._holders[task]:
                self._end_run(task, worker_id)

    def check(self, workers: Iterable[FakeWorker]) -> None:
        """Record the tasks that are idle now."""
        free = self._free_millicores(workers)
        idle = set(self._idle_items(free))
        self._idle_since_ms = {
            item: self._idle_since_ms.get(item, self.now_ms) for item in idle
        }
        for item, since_ms in self._idle_since_ms.items():
            calm_since_ms = max(since_ms, self._disturbed_ms + CALM_MS)
            idle_ms = self.now_ms - calm_since_ms
            self.longest_idle_ms = max(self.longest_idle_ms, idle_ms)
            if idle_ms > IDLE_LIMIT_MS and item not in self._reported:
                self._reported.add(item)
                self._add_violation(f"{item} is idle since {since_ms} ms")

    def _end_run(self, task: str, worker_id: str) -> None:
        self._holders[task].discard(worker_id)
        if not self._holders[task]:
            del self._holders[task]
        self._last_run_ms[task] = self.now_ms

    def _free_millicores(self, workers: Iterable[FakeWorker]) -> list[int]:
        """Return the free processors of each sound worker.

        Empty if `USED_SHARE_MAX` of the processors are in use.
        """
        used = {
            worker.worker_id: sum(
                self.step_of(task)[1].processors_millicores
                for task in worker.running
            )
            for worker in workers
            if worker.up and worker.reachable
        }
        capacity = WORKER_MILLICORES * len(used)
        if sum(used.values()) >= USED_SHARE_MAX * capacity:
            return []
        return [WORKER_MILLICORES - item for item in used.values()]

    def _idle_items(self, free: list[int]) -> Iterable[str]:
        busy_jobs = {task.split(".")[0] for task in self._holders}
        for job_id, spec in self.specs.items():
            if self.is_final(job_id):
                continue
            for position, step in enumerate(spec.steps):
                if not self._turn_has_come(job_id, spec, step):
                    continue
                need = max(1, step.processors_millicores)
                if sum(item // need for item in free) < 2 * step.count:
                    continue
                tasks = [
                    f"{job_id}.0.{position}.{index}"
                    for index in range(step.count)
                ]
                if step.long_running:
                    yield from (
                        task for task in tasks if self._lacks_run(task)
                    )
                elif job_id not in busy_jobs and any(
                    task not in self.done for task in tasks
                ):
                    yield job_id

    def _turn_has_come(
        self, job_id: str, spec: WorkflowSpec, step: StepSpec
    ) -> bool:
        return all(
            f"{job_id}.0.{predecessor}.{index}" in self.done
            for predecessor in step.after
            for index in range(spec.steps[predecessor].count)
        )

    def _lacks_run(self, task: str) -> bool:
        last_ms = self._last_run_ms.get(task, -LONG_RUNNING_GRACE_MS)
        return (
            task not in self._holders
            and self.now_ms - last_ms >= LONG_RUNNING_GRACE_MS
        )
