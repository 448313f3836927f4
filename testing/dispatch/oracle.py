"""Judges what workers saw; knows the rules and nothing of the product."""

import collections

from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec

ROOM_MILLICORES = 4_000


class Oracle:
    """Collects broken rules, with the time at which they broke."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.broken: list[str] = []
        self.specs: dict[str, WorkflowSpec] = {}
        self.cancelled_ms: dict[str, int] = {}
        self.starts = 0
        self.done: set[str] = set()
        self._noted: set[str] = set()
        self._failures: collections.Counter[str] = collections.Counter()
        self._running: dict[str, set[str]] = {}

    def step_of(self, task: str) -> tuple[WorkflowSpec, StepSpec, int]:
        job_id, _, position, _ = task.split(".")
        spec = self.specs[job_id]
        return spec, spec.steps[int(position)], int(position)

    def started(self, task: str, worker_id: str) -> None:
        self.starts += 1
        for other, tasks in self._running.items():
            if task in tasks:
                self._break(f"{task} runs on {other} and {worker_id}")
        if task in self._noted:
            self._break(f"{task} starts after its end was taken note of")
        job_id = task.split(".")[0]
        spec, step, _ = self.step_of(task)
        for before in step.after:
            for index in range(spec.steps[before].count):
                if f"{job_id}.0.{before}.{index}" not in self.done:
                    self._break(f"{task} starts before step {before} is done")
        if self._failures[task] >= 3:
            self._break(f"{task} starts after three failures")
        cancelled_ms = self.cancelled_ms.get(job_id)
        if cancelled_ms is not None and self.now_ms > cancelled_ms + 3_000:
            self._break(f"{task} starts long after its job was cancelled")
        running = self._running.setdefault(worker_id, set())
        running.add(task)
        used = sum(
            self.step_of(item)[1].processors_millicores for item in running
        )
        if used > ROOM_MILLICORES:
            self._break(f"{worker_id} is over its room with {task}")

    def ended(self, task: str, worker_id: str, outcome: RunOutcome) -> None:
        self._running.get(worker_id, set()).discard(task)
        if outcome == "done":
            self.done.add(task)

    def acknowledged(self, task: str, outcome: RunOutcome) -> None:
        if outcome == "done":
            self._noted.add(task)
        elif outcome == "failed":
            self._failures[task] += 1

    def worker_down(self, worker_id: str) -> None:
        self._running.pop(worker_id, None)

    def _break(self, text: str) -> None:
        self.broken.append(f"{self.now_ms} ms: {text}")
