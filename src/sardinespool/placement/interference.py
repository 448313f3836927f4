"""Slowdown by pair of task classes, learned from delayed reports."""

import math
import random

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import task_class
from sardinespool.placement.estimates import PairEstimates
from sardinespool.placement.fleet import ACTIVE_STATES
from sardinespool.placement.fleet import FleetState
from sardinespool.placement.fleet import WorkerCapacity
from sardinespool.placement.settings import PolicySettings

TASKS_PER_WORKER = 4
"""Tasks per worker that one pass learns from, to bound its cost."""

FULL_WEIGHT_SHARE = 0.1
"""Processor share from which a sample has full weight.

The effect of neighbours that use less of the host is less certain.
"""

DUMPED_PAIRS = 100
"""Maximum number of pairs in a state dump."""

MAXIMUM_SAMPLE = 30.0
"""Upper limit of a sample, so that one invalid report has little effect."""


BASELINE_QUANTILE = 0.05
"""Quantile of reported latencies that is taken as free of interference.

It is low because most workers have some interference most of the time.
"""

BASELINE_STEP_SIZE = 0.05
"""Step size per report of the stochastic approximation of the quantile.

With reports of five workers the baseline can double within half a minute,
which is fast enough to follow the request load.
"""


def service_class(worker: WorkerCapacity) -> str:
    """Return the class name of the request services of a worker."""
    return "service " + "+".join(worker.view.services)


class InterferenceModel:
    """Learns pair estimates and the baseline latency of each service.

    The model is linear: the excess slowdown of a class is the sum, over the
    classes that run on the same host, of the estimate of the pair times the
    share of the host's processors that the other class uses. Each report
    distributes its prediction error over the estimates of these classes, in
    proportion to their shares.

    Parameters
    ----------
    settings : PolicySettings
        Parameters of the policy.
    pairs : PairEstimates
        Store of the estimates; keys are (affected class, interfering class).
    rng : random.Random
        Samples the workers and tasks to learn from.
    """

    def __init__(
        self,
        settings: PolicySettings,
        pairs: PairEstimates,
        rng: random.Random,
    ) -> None:
        self.pairs = pairs
        self.baselines_ms: dict[str, float] = {}
        self._settings = settings
        self._rng = rng

    def describe(self) -> dict[str, float]:
        """Return the highest estimates, for the state dump."""
        means = {
            f"{affected} by {interfering}": round(
                self.pairs.mean((affected, interfering)), 3
            )
            for affected, interfering in self.pairs.keys()
        }
        highest = sorted(means, key=lambda key: -means[key])
        return {key: means[key] for key in highest[:DUMPED_PAIRS]}

    def observe(self, fleet: FleetState) -> None:
        """Learn from the reports of a sample of the usable workers."""
        settings = self._settings
        # Includes workers without tasks: their latency sets the baseline.
        workers = [
            worker
            for worker in fleet.usable()
            if worker.tasks or worker.view.services
        ]
        if len(workers) > settings.learning_workers_per_plan:
            workers = self._rng.sample(
                workers, settings.learning_workers_per_plan
            )
        reports_by_service: dict[
            str, list[tuple[float, dict[str, float]]]
        ] = {}
        for worker in workers:
            class_shares = self._age_weighted_shares(worker, fleet.unix_ms)
            if worker.view.services and worker.view.request_latency_p99_ms > 0:
                reports_by_service.setdefault(
                    service_class(worker), []
                ).append((worker.view.request_latency_p99_ms, class_shares))
            self._learn_tasks(worker, class_shares, fleet.unix_ms)
        for name, reports in reports_by_service.items():
            self._learn_service(name, reports, fleet.unix_ms)

    def service_excess(self, worker: WorkerCapacity) -> float:
        """Return the ratio of request latency to its baseline, minus 1."""
        if not worker.view.services:
            return 0.0
        baseline_ms = self.baselines_ms.get(service_class(worker), 0.0)
        reported_ms = worker.view.request_latency_p99_ms
        if baseline_ms <= 0.0 or reported_ms <= 0.0:
            return 0.0
        return reported_ms / baseline_ms - 1.0

    def predicted_excess(self, worker: WorkerCapacity) -> float:
        """Return the excess latency that the estimates predict."""
        return self._predict(service_class(worker), worker.class_shares())

    def _age_weighted_shares(
        self, worker: WorkerCapacity, unix_ms: int
    ) -> dict[str, float]:
        """Return shares by class, reduced for tasks placed a moment ago."""
        lag_ms = self._settings.report_lag_ms
        class_shares: dict[str, float] = {}
        for task in worker.tasks:
            age = min(1.0, max(0, unix_ms - task.placed_unix_ms) / lag_ms)
            name = task_class(task)
            class_shares[name] = (
                class_shares.get(name, 0.0) + worker.task_share(task) * age
            )
        return class_shares

    def _learn_service(
        self,
        name: str,
        reports: list[tuple[float, dict[str, float]]],
        unix_ms: int,
    ) -> None:
        # The predicted excess is not subtracted from the reports: an estimate
        # that is too high would lower the baseline, which would raise the
        # estimate further.
        latencies_ms = [latency_ms for latency_ms, _ in reports]
        baseline_ms = self.baselines_ms.get(name)
        if baseline_ms is None:
            baseline_ms = min(latencies_ms)
        below_count = sum(value < baseline_ms for value in latencies_ms)
        quantile_error = BASELINE_QUANTILE - below_count / len(latencies_ms)
        baseline_ms *= math.exp(
            BASELINE_STEP_SIZE * min(8, len(latencies_ms)) * quantile_error
        )
        self.baselines_ms[name] = baseline_ms
        for latency_ms, class_shares in reports:
            self._correct_estimates(
                name, latency_ms / baseline_ms - 1.0, class_shares, unix_ms
            )

    def _learn_tasks(
        self,
        worker: WorkerCapacity,
        class_shares: dict[str, float],
        unix_ms: int,
    ) -> None:
        sampled_tasks = [
            task
            for task in worker.tasks
            if self._has_usable_report(task, unix_ms)
        ]
        if len(sampled_tasks) > TASKS_PER_WORKER:
            sampled_tasks = self._rng.sample(sampled_tasks, TASKS_PER_WORKER)
        for task in sampled_tasks:
            name = task_class(task)
            neighbour_shares = dict(class_shares)
            neighbour_shares[name] = max(
                0.0, neighbour_shares[name] - worker.task_share(task)
            )
            self._correct_estimates(
                name, task.observed_slowdown - 1.0, neighbour_shares, unix_ms
            )

    def _has_usable_report(self, task: TaskView, unix_ms: int) -> bool:
        # A throttled task is slow because of its throttle, not of neighbours.
        return (
            task.observed_slowdown > 0.0
            and task.throttle_share >= 1.0
            and task.state in ACTIVE_STATES
            and unix_ms - task.placed_unix_ms >= self._settings.report_lag_ms
        )

    def _predict(self, name: str, class_shares: dict[str, float]) -> float:
        if not self._settings.has("interference"):
            return 0.0
        return sum(
            self.pairs.mean((name, neighbour)) * share
            for neighbour, share in class_shares.items()
        )

    def _correct_estimates(
        self,
        name: str,
        excess: float,
        class_shares: dict[str, float],
        unix_ms: int,
    ) -> None:
        if not self._settings.has("interference"):
            return
        squared_norm = sum(share * share for share in class_shares.values())
        if squared_norm < 1e-4:
            return
        error = excess - self._predict(name, class_shares)
        for neighbour, share in class_shares.items():
            key = (name, neighbour)
            sample = self.pairs.mean(key) + error * share / squared_norm
            weight = min(1.0, (share / FULL_WEIGHT_SHARE) ** 2)
            self.pairs.add(
                key,
                max(-1.0, min(MAXIMUM_SAMPLE, sample)),
                weight,
                unix_ms,
            )
