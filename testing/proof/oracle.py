"""Model of the ten rules, fed by what the stand-ins recorded.

It knows jobs as they were submitted, what workers and endpoints did, what
callers and operators received, and the configuration version that processes
acted on. It reads no state of the system.
"""

import dataclasses
from typing import Any

from sardinespool.messages.configuration import Change
from sardinespool.messages.jobs import Job
from testing.proof.engine import Engine
from testing.proof.request_rules import RequestRules

OUT_OF_SERVICE_BOUND_MS = 3_000
"""R4: time after the receipt in which a task may still start."""

OUT = {"state": "out-of-service"}


class RuleBrokenError(AssertionError):
    """One of the rules does not hold."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


@dataclasses.dataclass
class WorkerModel:
    """One worker: its capacity, lease and running attempts by task."""

    domain: str
    capacity: tuple[int, int, int]
    lease_end_ms: int = 0
    lapsed_ms: int = -1
    runs: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class PatchModel:
    """A patch as its operator knows it; `version` is 0 until approved."""

    changes: tuple[Change, ...]
    received_ms: int = 0
    version: int = 0

    def sets(self, key: str, out: bool) -> bool:
        return any(
            c.key == key and (c.value == OUT) == out for c in self.changes
        )


class Oracle:
    """Checks every record against the rules; raises `RuleBrokenError`."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.jobs: dict[str, Job] = {}
        self.cancelled: set[str] = set()
        self.completions: set[str] = set()
        self.workers: dict[str, WorkerModel] = {}
        self.in_force: dict[str, int] = {}
        self.requests = RequestRules(engine, self.broken)
        self._attempts: dict[str, int] = {}
        self._completed: set[str] = set()
        self._checkpoints: dict[str, set[str]] = {}
        self._durable_ms: dict[str, int] = {}
        self._patches: dict[str, PatchModel] = {}
        self._versions: dict[int, str] = {}
        self._contents: dict[int, str] = {}

    def broken(self, rule: str, text: str) -> None:
        raise RuleBrokenError(rule, f"{text} at {self._engine.now_ms} ms")

    def worker_started(
        self, worker: str, domain: str, capacity: tuple[int, int, int]
    ) -> None:
        self.workers[worker] = WorkerModel(domain, capacity)
        self.requests.worker_started(worker)

    def worker_crashed(self, worker: str) -> None:
        self.workers[worker].runs.clear()

    def lease(self, worker: str, end_ms: int) -> None:
        """Record the lease that a worker holds, in real time."""
        model = self.workers[worker]
        if self._engine.now_ms >= model.lease_end_ms:
            model.lapsed_ms = self._engine.now_ms
        model.lease_end_ms = max(model.lease_end_ms, end_ms)

    def task_event(self, worker: str, event: str, values: Any) -> None:
        """Record what a worker did with an attempt."""
        task_id = values["task_id"]
        if event == "start":
            attempt, checkpoint = values["attempt"], values["checkpoint"]
            self._check_start(worker, task_id, attempt, checkpoint)
            self.workers[worker].runs[task_id] = attempt
            self._check_capacity(worker)
        elif self.workers[worker].runs.pop(task_id, None) is not None:
            self.reported(task_id, values["checkpoint"])
        if event == "completed":
            self.completions.add(task_id)

    def reported(self, task_id: str, checkpoint: str) -> None:
        """Record a checkpoint that a worker made."""
        self._checkpoints.setdefault(task_id, set()).add(checkpoint)

    def acknowledged(self, worker: str, report: Any, started_ms: int) -> None:
        """Record that the end of an attempt was acknowledged.

        It is known to be durable only if the lease never ended since the
        start: otherwise the attempt may have been replaced.
        """
        model = self.workers[worker]
        if model.lapsed_ms >= started_ms or (
            self._engine.now_ms >= model.lease_end_ms
        ):
            return
        if report.state == "completed":
            self._completed.add(report.task_id)
        elif report.state == "stopped" and report.checkpoint:
            known_ms = self._durable_ms.get(report.task_id, 0)
            progress_ms = max(int(report.checkpoint), known_ms)
            self._durable_ms[report.task_id] = progress_ms

    def submitting(self, patch_id: str, changes: tuple[Change, ...]) -> None:
        """Record that an operator sends what may put a patch in force."""
        self._patches[patch_id] = PatchModel(changes)

    def refused(self, patch_id: str) -> None:
        """Record that a patch will never be in force."""
        if self._patches.pop(patch_id).version:
            self.broken("R10", f"{patch_id} was refused after its approval")

    def approved(self, patch_id: str, version: int) -> None:
        """Record an operator's receipt of an approval."""
        patch = self._patches[patch_id]
        if self._versions.setdefault(version, patch_id) != patch_id:
            self.broken("R10", f"version {version} was given twice")
        patch.version = version
        patch.received_ms = self._engine.now_ms

    def acted_on(self, process: str, version: int, content: str) -> None:
        """Record the version that a process acts on."""
        if version < self.in_force.get(process, 0):
            self.broken("R10", f"{process} went back to version {version}")
        self.in_force[process] = version
        known = self._contents.setdefault(version, content) if content else ""
        if known != content:
            self.broken("R10", f"version {version} has two contents")

    def newest_version(self) -> int:
        """Return the newest version of which an operator has a receipt."""
        return max(self._versions, default=0)

    def _check_start(
        self, worker: str, task_id: str, attempt: int, checkpoint: str
    ) -> None:
        now_ms = self._engine.now_ms
        for name, other in self.workers.items():
            if task_id in other.runs and (
                name == worker or now_ms < other.lease_end_ms
            ):
                self.broken("R2", f"{task_id} runs on {name} and {worker}")
        if attempt <= self._attempts.get(task_id, 0):
            self.broken("R3", f"attempt {attempt} of {task_id} started late")
        self._attempts[task_id] = attempt
        if task_id in self._completed:
            self.broken("R3", f"{task_id} started after its completion")
        if int(checkpoint or 0) < self._durable_ms.get(task_id, 0):
            self.broken("R3", f"{task_id} lost its checkpoint")
        if checkpoint and checkpoint not in self._checkpoints.get(task_id, ()):
            self.broken("R3", f"{task_id} has a checkpoint that no run made")
        if self._out_of_service(self.workers[worker].domain):
            self.broken("R4", f"{task_id} started on {worker}")

    def _check_capacity(self, worker: str) -> None:
        model = self.workers[worker]
        jobs = [self.jobs[task.rpartition("/")[0]] for task in model.runs]
        used = (
            sum(job.processors_millicores for job in jobs),
            sum(job.memory_mb for job in jobs),
            sum(job.accelerators for job in jobs),
        )
        if any(u > c for u, c in zip(used, model.capacity, strict=True)):
            self.broken("R1", f"{worker} holds {used} of {model.capacity}")

    def _out_of_service(self, domain: str) -> bool:
        """Return whether no approved version allows starts any more."""
        key = f"failure_domains/{domain}"
        bound_ms = self._engine.now_ms - OUT_OF_SERVICE_BOUND_MS
        patches = self._patches.values()
        out_version = max(
            (
                patch.version
                for patch in patches
                if patch.version
                and patch.received_ms < bound_ms
                and patch.sets(key, out=True)
            ),
            default=0,
        )
        return bool(out_version) and not any(
            patch.sets(key, out=False)
            and (not patch.version or patch.version > out_version)
            for patch in patches
        )
