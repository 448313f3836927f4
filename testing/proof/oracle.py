"""Reference model of the ten safety rules.

The simulated hosts record submitted jobs, actions of workers and endpoints,
replies to callers and operators, and the configuration versions in use. The
model does not read the state of the system under test.
"""

import dataclasses
from typing import Any

from sardinespool.messages.configuration import Change
from sardinespool.messages.jobs import Job
from testing.proof.engine import Engine
from testing.proof.request_rules import RequestRules

OUT_OF_SERVICE_BOUND_MS = 3_000
"""R4: time after the receipt during which tasks may still start."""

OUT_OF_SERVICE = {"state": "out-of-service"}


class RuleViolationError(AssertionError):
    """A safety rule was violated."""

    def __init__(self, rule: str, description: str) -> None:
        super().__init__(f"{rule}: {description}")
        self.rule = rule


@dataclasses.dataclass
class WorkerModel:
    """One worker: capacity, lease and running attempts by task."""

    domain: str
    capacity: tuple[int, int, int]
    lease_end_ms: int = 0
    lease_lapsed_ms: int = -1
    running_attempts: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class PatchModel:
    """A patch as seen by its operator; `version` is 0 until approval."""

    changes: tuple[Change, ...]
    received_ms: int = 0
    version: int = 0

    def sets(self, key: str, out_of_service: bool) -> bool:
        return any(
            c.key == key and (c.value == OUT_OF_SERVICE) == out_of_service
            for c in self.changes
        )


class Oracle:
    """Checks each recorded event; raises `RuleViolationError`."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.jobs: dict[str, Job] = {}
        self.cancelled: set[str] = set()
        self.completed_tasks: set[str] = set()
        self.workers: dict[str, WorkerModel] = {}
        self.versions_in_use: dict[str, int] = {}
        self.requests = RequestRules(engine, self.report_violation)
        self._last_attempts: dict[str, int] = {}
        self._acknowledged_completions: set[str] = set()
        self._checkpoints: dict[str, set[str]] = {}
        self._acknowledged_progress_ms: dict[str, int] = {}
        self._patches: dict[str, PatchModel] = {}
        self._patch_by_version: dict[int, str] = {}
        self._content_by_version: dict[int, str] = {}

    def report_violation(self, rule: str, description: str) -> None:
        raise RuleViolationError(
            rule, f"{description} at {self._engine.now_ms} ms"
        )

    def worker_started(
        self, worker: str, domain: str, capacity: tuple[int, int, int]
    ) -> None:
        self.workers[worker] = WorkerModel(domain, capacity)
        self.requests.worker_started(worker)

    def worker_crashed(self, worker: str) -> None:
        self.workers[worker].running_attempts.clear()

    def record_lease(self, worker: str, end_ms: int) -> None:
        """Record a worker's lease; `end_ms` is simulated real time."""
        model = self.workers[worker]
        if self._engine.now_ms >= model.lease_end_ms:
            model.lease_lapsed_ms = self._engine.now_ms
        model.lease_end_ms = max(model.lease_end_ms, end_ms)

    def record_task_event(self, worker: str, event: str, values: Any) -> None:
        """Record the start or the end of an attempt on a worker."""
        task_id = values["task_id"]
        if event == "start":
            attempt, checkpoint = values["attempt"], values["checkpoint"]
            self._check_start(worker, task_id, attempt, checkpoint)
            self.workers[worker].running_attempts[task_id] = attempt
            self._check_capacity(worker)
        elif (
            self.workers[worker].running_attempts.pop(task_id, None)
            is not None
        ):
            self.record_checkpoint(task_id, values["checkpoint"])
        if event == "completed":
            self.completed_tasks.add(task_id)

    def record_checkpoint(self, task_id: str, checkpoint: str) -> None:
        """Record a checkpoint that a worker reported."""
        self._checkpoints.setdefault(task_id, set()).add(checkpoint)

    def record_acknowledgement(
        self, worker: str, report: Any, started_ms: int
    ) -> None:
        """Record that the end of an attempt was acknowledged.

        It is known to be durable only if the lease never ended since the
        start: otherwise the attempt may have been replaced.
        """
        model = self.workers[worker]
        if model.lease_lapsed_ms >= started_ms or (
            self._engine.now_ms >= model.lease_end_ms
        ):
            return
        if report.state == "completed":
            self._acknowledged_completions.add(report.task_id)
        elif report.state == "stopped" and report.checkpoint:
            previous_ms = self._acknowledged_progress_ms.get(report.task_id, 0)
            progress_ms = max(int(report.checkpoint), previous_ms)
            self._acknowledged_progress_ms[report.task_id] = progress_ms

    def record_submission(
        self, patch_id: str, changes: tuple[Change, ...]
    ) -> None:
        """Record a patch before it is sent, since it may take effect."""
        self._patches[patch_id] = PatchModel(changes)

    def record_refusal(self, patch_id: str) -> None:
        """Record that a patch was refused and will not take effect."""
        if self._patches.pop(patch_id).version:
            self.report_violation(
                "R10", f"{patch_id} was refused after its approval"
            )

    def record_approval(self, patch_id: str, version: int) -> None:
        """Record that an operator received the approval of a patch."""
        patch = self._patches[patch_id]
        if self._patch_by_version.setdefault(version, patch_id) != patch_id:
            self.report_violation(
                "R10", f"version {version} was assigned twice"
            )
        patch.version = version
        patch.received_ms = self._engine.now_ms

    def record_version(self, process: str, version: int, content: str) -> None:
        """Record the configuration version that a process uses."""
        if version < self.versions_in_use.get(process, 0):
            self.report_violation(
                "R10", f"{process} reverted to version {version}"
            )
        self.versions_in_use[process] = version
        known_content = (
            self._content_by_version.setdefault(version, content)
            if content
            else ""
        )
        if known_content != content:
            self.report_violation(
                "R10", f"version {version} has different contents"
            )

    def newest_version(self) -> int:
        """Return the newest version whose approval an operator received."""
        return max(self._patch_by_version, default=0)

    def _check_start(
        self, worker: str, task_id: str, attempt: int, checkpoint: str
    ) -> None:
        now_ms = self._engine.now_ms
        for name, other in self.workers.items():
            if task_id in other.running_attempts and (
                name == worker or now_ms < other.lease_end_ms
            ):
                self.report_violation(
                    "R2", f"{task_id} runs on {name} and {worker}"
                )
        if attempt <= self._last_attempts.get(task_id, 0):
            self.report_violation(
                "R3", f"outdated attempt {attempt} of {task_id} started"
            )
        self._last_attempts[task_id] = attempt
        if task_id in self._acknowledged_completions:
            self.report_violation(
                "R3", f"{task_id} started after its completion"
            )
        if int(checkpoint or 0) < self._acknowledged_progress_ms.get(
            task_id, 0
        ):
            self.report_violation("R3", f"{task_id} lost its checkpoint")
        if checkpoint and checkpoint not in self._checkpoints.get(task_id, ()):
            self.report_violation(
                "R3", f"{task_id} has a checkpoint of no run"
            )
        if self._is_out_of_service(self.workers[worker].domain):
            self.report_violation("R4", f"{task_id} started on {worker}")

    def _check_capacity(self, worker: str) -> None:
        model = self.workers[worker]
        jobs = [
            self.jobs[task.rpartition("/")[0]]
            for task in model.running_attempts
        ]
        used = (
            sum(job.processors_millicores for job in jobs),
            sum(job.memory_mb for job in jobs),
            sum(job.accelerators for job in jobs),
        )
        if any(u > c for u, c in zip(used, model.capacity, strict=True)):
            self.report_violation(
                "R1", f"{worker} uses {used} of {model.capacity}"
            )

    def _is_out_of_service(self, domain: str) -> bool:
        """Return whether no version in effect may still allow starts."""
        key = f"failure_domains/{domain}"
        receipt_limit_ms = self._engine.now_ms - OUT_OF_SERVICE_BOUND_MS
        patches = self._patches.values()
        out_of_service_version = max(
            (
                patch.version
                for patch in patches
                if patch.version
                and patch.received_ms < receipt_limit_ms
                and patch.sets(key, out_of_service=True)
            ),
            default=0,
        )
        return bool(out_of_service_version) and not any(
            patch.sets(key, out_of_service=False)
            and (not patch.version or patch.version > out_of_service_version)
            for patch in patches
        )
