"""Simulated worker with interference between its tasks and service."""

import collections
import math
import random

import numpy

from bench.fakes.task import FakeTask
from bench.ground_truth import GroundTruth

REPORT_LAG_STEPS = 3
REPORT_NOISE = 0.1


class FakeWorker:
    """Runs tasks in steps and reports on them with lag and noise.

    Request latency is multiplied by ``1 + e + e * e`` for an excess e: the
    sum of the ground-truth pair values, weighted by the processor shares of
    the tasks. A host out of memory kills the tasks that exceed their memory
    reservations most.
    """

    def __init__(
        self,
        worker_id: str,
        rack: str,
        service: str,
        processors_millicores: int,
        memory_mb: int,
        rng: random.Random,
    ) -> None:
        self.worker_id = worker_id
        self.rack = rack
        self.service = service
        self.processors_millicores = processors_millicores
        self.memory_mb = memory_mb
        self.black_hole = False
        self.tasks: dict[str, FakeTask] = {}
        self.latency_factor = 1.0
        self.work_done_ms = 0.0
        self.reported_latency_ms = 0.0
        self.failed_jobs: tuple[str, ...] = ()
        self.last_failure_unix_ms = 0
        self.last_success_unix_ms = 0
        self._rng = rng
        self._latency_reports: collections.deque[float] = collections.deque()

    def step(
        self, truth: GroundTruth, step_ms: int, lagged: bool
    ) -> tuple[list[FakeTask], list[FakeTask]]:
        """Run for one step and return the completed and the failed tasks."""
        tasks = list(self.tasks.values())
        failed = [t for t in tasks if t.broken or self.black_hole]
        failed += self._out_of_memory_tasks(tasks)
        demand_millicores = sum(
            t.processors_millicores * t.throttle_share for t in tasks
        )
        speed = min(
            1.0, self.processors_millicores / max(1.0, demand_millicores)
        )
        shares = numpy.zeros(len(truth.index))
        for task in tasks:
            used_millicores = (
                task.processors_millicores * task.throttle_share * speed
            )
            if task.class_index == truth.cache_heavy_index:
                used_millicores = task.processors_millicores
            shares[task.class_index] += (
                used_millicores / self.processors_millicores
            )
        excess = truth.matrix @ shares
        completed = []
        for task in tasks:
            own_millicores = (
                task.processors_millicores * task.throttle_share * speed
            )
            self_effect = truth.matrix[task.class_index, task.class_index]
            slowdown = 1.0 + max(
                0.0,
                float(excess[task.class_index])
                - self_effect * own_millicores / self.processors_millicores,
            )
            task.slowdown = slowdown
            progress = step_ms * task.throttle_share * speed / slowdown
            progress = min(progress, task.work_ms - task.progress_ms)
            task.progress_ms += progress
            self.work_done_ms += progress * task.processors_millicores / 1000
            if task.progress_ms >= task.work_ms and task not in failed:
                completed.append(task)
            self._report_usage(task, speed, lagged)
        excess_latency = truth.load_factor() * float(
            excess[truth.index[self.service]]
        )
        self.latency_factor = (
            1.0 + excess_latency + excess_latency * excess_latency
        )
        latency_ms = self.latency_factor * (1.0 + truth.request_load)
        self._latency_reports.append(latency_ms * self._noise_factor(lagged))
        while len(self._latency_reports) > (REPORT_LAG_STEPS if lagged else 1):
            self.reported_latency_ms = self._latency_reports.popleft()
        if not lagged:
            self.reported_latency_ms = latency_ms
        return completed, failed

    def _noise_factor(self, lagged: bool) -> float:
        if not lagged:
            return 1.0
        return math.exp(self._rng.gauss(0.0, REPORT_NOISE))

    def _report_usage(
        self, task: FakeTask, speed: float, lagged: bool
    ) -> None:
        if task.progress_ms < REPORT_LAG_STEPS * 1000 and lagged:
            return
        task.observed_processors_millicores = int(
            task.processors_millicores * task.throttle_share * speed
        )
        task.observed_memory_mb = task.memory_mb
        task.observed_slowdown = task.slowdown * self._noise_factor(lagged)

    def _out_of_memory_tasks(self, tasks: list[FakeTask]) -> list[FakeTask]:
        used_mb = sum(task.memory_mb for task in tasks)
        killed: list[FakeTask] = []
        by_excess = sorted(
            tasks, key=lambda t: t.reserved_memory_mb - t.memory_mb
        )
        while used_mb > self.memory_mb:
            victim = by_excess.pop(0)
            victim.observed_memory_mb = victim.memory_mb
            used_mb -= victim.memory_mb
            killed.append(victim)
        return [task for task in killed if not task.broken]
