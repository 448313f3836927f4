"""Generated jobs and a request load that vary over time."""

import math
import random

from bench.fakes.task import FakeTask
from bench.ground_truth import CLASSES
from bench.ground_truth import GroundTruth
from bench.ground_truth import LATENCY_CRITICAL_CLASS
from bench.scenarios import Scenario
from bench.scenarios import Shape
from sardinespool.messages.jobs import Job

WAVE_MS = 40_000


class JobArrivals:
    """Generates jobs whose work amounts to a share of all processors.

    Every class has its own true size, run time and declaration error. In
    scenarios with noise waves three classes at a time dominate the arrivals.
    """

    def __init__(
        self, seed: int, shape: Shape, scenario: Scenario, truth: GroundTruth
    ) -> None:
        self._rng = random.Random(f"arrivals {seed}")
        self._shape = shape
        self._scenario = scenario
        self._truth = truth
        self._job_count = 0
        rng = self._rng
        host_millicores = shape.processors_millicores
        error = scenario.declaration_error
        self._class_millicores = [
            int(host_millicores * rng.uniform(0.02, 0.1)) for _ in CLASSES
        ]
        self._class_memory_mb = [
            int(shape.memory_mb * rng.uniform(0.01, 0.08)) for _ in CLASSES
        ]
        self._class_run_ms = [rng.uniform(10_000, 40_000) for _ in CLASSES]
        self._declaration_errors = [
            (error ** rng.uniform(-1, 1), error ** rng.uniform(-1, 1))
            for _ in CLASSES
        ]
        self._work_due = 0.0

    def request_load(self, unix_ms: int) -> float:
        """Return the load of the request services, between 0.2 and 0.9."""
        phase = 2 * math.pi * unix_ms / 100_000
        return 0.55 + 0.35 * math.sin(phase)

    def _class_weights(self, elapsed_ms: int) -> list[float]:
        if not self._scenario.noise_waves:
            return [1.0] * len(CLASSES)
        wave_number = elapsed_ms // WAVE_MS
        dominant = random.Random(f"wave {wave_number}").sample(
            range(len(CLASSES)), 3
        )
        return [
            6.0 if number in dominant else 0.5
            for number in range(len(CLASSES))
        ]

    def jobs(
        self, unix_ms: int, elapsed_ms: int, step_ms: int
    ) -> list[tuple[Job, list[FakeTask]]]:
        """Return the jobs that arrive during one step, with their tasks."""
        shape = self._shape
        total = shape.processors_millicores * shape.worker_count
        self._work_due += self._scenario.load * total * step_ms
        result = []
        while self._work_due > 0:
            job, tasks = self._make_job(unix_ms, elapsed_ms)
            self._work_due -= sum(
                task.processors_millicores * task.work_ms for task in tasks
            )
            result.append((job, tasks))
        return result

    def _make_job(
        self, unix_ms: int, elapsed_ms: int
    ) -> tuple[Job, list[FakeTask]]:
        rng = self._rng
        shape = self._shape
        class_index = rng.choices(
            range(len(CLASSES)), self._class_weights(elapsed_ms)
        )[0]
        self._job_count += 1
        count = rng.randint(1, 6)
        run_ms = self._class_run_ms[class_index] * rng.uniform(0.7, 1.3)
        millicores = int(
            self._class_millicores[class_index] * rng.uniform(0.9, 1.1)
        )
        memory_mb = int(
            self._class_memory_mb[class_index] * rng.uniform(0.9, 1.1)
        )
        processors_error, memory_error = self._declaration_errors[class_index]
        margin = rng.uniform(1.0, 1.4)
        job = Job(
            job_id=f"job-{self._job_count}",
            team=f"team-{self._job_count % 5}",
            priority="urgent" if rng.random() < 0.02 else "normal",
            task_count=count,
            processors_millicores=min(
                shape.processors_millicores // 2,
                int(millicores * processors_error * margin),
            ),
            memory_mb=min(
                shape.memory_mb // 2, int(memory_mb * memory_error * margin)
            ),
            expected_run_ms=int(run_ms * rng.uniform(0.5, 2.0)),
            finish_deadline_unix_ms=int(unix_ms + run_ms * rng.uniform(2, 8)),
            task_class=CLASSES[class_index],
        )
        broken = rng.random() < self._scenario.broken_jobs
        return job, [
            FakeTask(
                f"{job.job_id}/{number}",
                job,
                self._truth.index[CLASSES[class_index]],
                millicores,
                memory_mb,
                run_ms,
                broken=broken,
                queued_unix_ms=unix_ms,
            )
            for number in range(count)
        ]

    def latency_critical_job(self, unix_ms: int) -> tuple[Job, list[FakeTask]]:
        """Return a latency-critical job that runs until the end."""
        shape = self._shape
        job = Job(
            job_id="watchers",
            team="team-0",
            kind="latency-critical",
            task_count=shape.worker_count // 2,
            processors_millicores=shape.processors_millicores // 32,
            memory_mb=shape.memory_mb // 64,
            expected_run_ms=10**9,
            task_class=LATENCY_CRITICAL_CLASS,
        )
        return job, [
            FakeTask(
                f"watchers/{number}",
                job,
                self._truth.index[LATENCY_CRITICAL_CLASS],
                job.processors_millicores,
                job.memory_mb,
                1e12,
                queued_unix_ms=unix_ms,
            )
            for number in range(job.task_count)
        ]
