"""Test oracle that checks the scheduling rules from what workers observe.

It shares no code with the dispatcher.
"""

import collections

from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.messages.workflows import WorkflowState

FAILURES_MAX = 3
"""Limit of the simulated queue."""
WORKER_MILLICORES = 4_000
CRASHES_MIN = 2
"""Workers that must have crashed under a task before its job may fail."""
CRASHES_MAX = 3
"""Crashed workers from which on the starts of a task are counted."""
STARTS_AFTER_CRASHES_MAX = 2
"""Starts of a task that may follow `CRASHES_MAX` crashes."""
CAPACITY_SLACK_MS = 4_000
"""Time for which capacity that has shrunk still counts: the contact time of
3 s and one heartbeat interval."""

Resources = tuple[int, int, int]
"""Processors in millicores, memory in MB, and accelerators."""


class Oracle:
    """Collects rule violations with the time at which they occurred."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.violations: list[str] = []
        self.specs: dict[str, WorkflowSpec] = {}
        self.cancelled_ms: dict[str, int] = {}
        self.starts = 0
        self.done: set[str] = set()
        self._acknowledged_tasks: set[str] = set()
        self._failures: collections.Counter[str] = collections.Counter()
        self._failed_runs: dict[str, set[int]] = {}
        self._running: dict[str, set[str]] = {}
        self.crashes: collections.Counter[str] = collections.Counter()
        self.crashes_under: collections.Counter[str] = collections.Counter()
        self._starts_after_crashes: collections.Counter[str] = (
            collections.Counter()
        )
        self._capacities: dict[str, list[tuple[int, Resources]]] = {}

    def step_of(self, task: str) -> tuple[WorkflowSpec, StepSpec, int]:
        job_id, _, position, _ = task.split(".")
        spec = self.specs[job_id]
        return spec, spec.steps[int(position)], int(position)

    def capacity_changed(self, worker_id: str, capacity: Resources) -> None:
        """Record the capacity that a worker reports from now on."""
        self._capacities.setdefault(worker_id, []).append(
            (self.now_ms, capacity)
        )

    def started(
        self, task: str, worker_id: str, sent_ms: int | None = None
    ) -> None:
        """Check a start, on an order sent at `sent_ms` if it was late."""
        self.starts += 1
        if self.crashes[task] >= CRASHES_MAX:
            self._starts_after_crashes[task] += 1
            starts = self._starts_after_crashes[task]
            if starts > STARTS_AFTER_CRASHES_MAX:
                self._add_violation(
                    f"{task} starts {starts} times more after "
                    f"{CRASHES_MAX} workers crashed under it"
                )
        for other, tasks in self._running.items():
            if task in tasks:
                self._add_violation(f"{task} runs on {other} and {worker_id}")
        if task in self._acknowledged_tasks:
            self._add_violation(
                f"{task} starts after its end was acknowledged"
            )
        job_id = task.split(".")[0]
        spec, step, _ = self.step_of(task)
        for predecessor in step.after:
            for index in range(spec.steps[predecessor].count):
                if f"{job_id}.0.{predecessor}.{index}" not in self.done:
                    self._add_violation(
                        f"{task} starts before step {predecessor} is done"
                    )
        if self._failures[task] >= FAILURES_MAX:
            self._add_violation(f"{task} starts after three failures")
        cancelled_ms = self.cancelled_ms.get(job_id)
        if cancelled_ms is not None and self.now_ms > cancelled_ms + 3_000:
            self._add_violation(
                f"{task} starts long after its job was cancelled"
            )
        running = self._running.setdefault(worker_id, set())
        running.add(task)
        self._check_capacity(
            task, worker_id, self.now_ms if sent_ms is None else sent_ms
        )

    def _check_capacity(self, task: str, worker_id: str, sent_ms: int) -> None:
        """Check what runs and is being stopped against the capacity.

        An order that the worker carries out late may rely on the capacity of
        the time at which it was sent.
        """
        since_ms = sent_ms - CAPACITY_SLACK_MS
        history = self._capacities[worker_id]
        counted = [
            capacity
            for position, (_, capacity) in enumerate(history)
            if position + 1 == len(history)
            or history[position + 1][0] > since_ms
        ]
        specs = [self.step_of(item)[1] for item in self._running[worker_id]]
        used: Resources = (
            sum(
                spec.processors_millicores
                for spec in specs
                if not spec.uses_leftover_processors
            ),
            sum(spec.memory_mb for spec in specs),
            sum(spec.accelerators for spec in specs),
        )
        names = ("processors", "memory", "accelerators")
        for position, name in enumerate(names):
            allowed = max(capacity[position] for capacity in counted)
            if used[position] > allowed:
                self._add_violation(
                    f"{worker_id} exceeds its {name} with {task}:"
                    f" {used[position]} of {allowed}"
                )

    def ended(
        self, task: str, run: int, worker_id: str, outcome: RunOutcome
    ) -> None:
        self._running.get(worker_id, set()).discard(task)
        if outcome == "done":
            self.done.add(task)
        elif outcome == "failed":
            self._failed_runs.setdefault(task, set()).add(run)

    def crashed(self, task: str, worker_id: str) -> None:
        """Count a worker that a task crashes, also for the tasks beside it."""
        self.crashes[task] += 1
        self.crashes_under.update(self._running[worker_id])

    def acknowledged(self, task: str, outcome: RunOutcome) -> None:
        if outcome == "done":
            self._acknowledged_tasks.add(task)
        elif outcome == "failed":
            self._failures[task] += 1

    def shown(self, job_id: str, state: WorkflowState) -> None:
        """Check a state that a requester was shown."""
        if state != "failed":
            return
        most = max(
            (
                len(runs)
                for task, runs in self._failed_runs.items()
                if task.split(".")[0] == job_id
                and not self.step_of(task)[1].long_running
            ),
            default=0,
        )
        most_crashes = max(
            (
                count
                for task, count in self.crashes_under.items()
                if task.split(".")[0] == job_id
            ),
            default=0,
        )
        if most < FAILURES_MAX and most_crashes < CRASHES_MIN:
            self._add_violation(
                f"{job_id} is shown as failed after {most} failed runs of "
                f"a task and {most_crashes} crashes"
            )

    def worker_down(self, worker_id: str) -> None:
        self._running.pop(worker_id, None)

    def _add_violation(self, text: str) -> None:
        self.violations.append(f"{self.now_ms} ms: {text}")
