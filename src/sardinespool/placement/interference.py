"""Slowdown by pair of classes, learned from lagging reports."""

import math
import random

from sardinespool.messages.tasks import TaskView
from sardinespool.placement.demand import task_class
from sardinespool.placement.estimates import PairEstimates
from sardinespool.placement.fleet import ACTIVE_STATES
from sardinespool.placement.fleet import Fleet
from sardinespool.placement.fleet import WorkerState
from sardinespool.placement.settings import PolicySettings

TASKS_PER_WORKER = 4
"""Tasks of one worker that one pass learns from; bounds the cost."""

FULL_WEIGHT_EXPOSURE = 0.1
"""Neighbours that use a smaller share of the host count as less certain."""

DESCRIBED_PAIRS = 100
"""Pairs shown in a state dump."""

LARGEST_SAMPLE = 30.0
"""Samples are clipped here, so that one broken report has little effect."""


BASELINE_QUANTILE = 0.05
"""Quantile of reports that counts as undisturbed.

A low one, since most workers are disturbed by something at most times.
"""

BASELINE_STEP = 0.05
"""Step of the quantile's stochastic approximation for each report.

The baseline doubles within half a minute of reports of five workers, fast
enough to follow the request load.
"""


def service_class(worker: WorkerState) -> str:
    """Return the class of the request services of a worker."""
    return "service " + "+".join(worker.view.services)


class InterferenceModel:
    """Learns pair estimates and the services' baseline latency.

    The excess of a disturbed class is taken as the sum over its neighbours'
    classes of the pair's estimate times the share of the host's processors
    that the class uses. Each report corrects the estimates of the classes
    present by their part of the prediction error.

    Parameters
    ----------
    settings : PolicySettings
        Parameters of the policy.
    pairs : PairEstimates
        Store of the estimates; keys are (disturbed, disturbing).
    rng : random.Random
        Chooses the workers to learn from.
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
            f"{disturbed} by {disturbing}": round(
                self.pairs.mean((disturbed, disturbing)), 3
            )
            for disturbed, disturbing in self.pairs.keys()
        }
        highest = sorted(means, key=lambda key: -means[key])
        return {key: means[key] for key in highest[:DESCRIBED_PAIRS]}

    def observe(self, fleet: Fleet) -> None:
        """Learn from the reports of some workers of a view."""
        settings = self._settings
        # Idle workers count: their request latency is the baseline.
        workers = [
            worker
            for worker in fleet.usable()
            if worker.tasks or worker.view.services
        ]
        if len(workers) > settings.learning_workers_per_plan:
            workers = self._rng.sample(
                workers, settings.learning_workers_per_plan
            )
        served: dict[str, list[tuple[float, dict[str, float]]]] = {}
        for worker in workers:
            exposures = self._aged_exposures(worker, fleet.unix_ms)
            if worker.view.services and worker.view.request_latency_p99_ms > 0:
                served.setdefault(service_class(worker), []).append(
                    (worker.view.request_latency_p99_ms, exposures)
                )
            self._learn_tasks(worker, exposures, fleet.unix_ms)
        for name, reports in served.items():
            self._learn_service(name, reports, fleet.unix_ms)

    def service_excess(self, worker: WorkerState) -> float:
        """Return the reported request latency over its baseline, less 1."""
        if not worker.view.services:
            return 0.0
        baseline_ms = self.baselines_ms.get(service_class(worker), 0.0)
        reported_ms = worker.view.request_latency_p99_ms
        if baseline_ms <= 0.0 or reported_ms <= 0.0:
            return 0.0
        return reported_ms / baseline_ms - 1.0

    def predicted_excess(self, worker: WorkerState) -> float:
        """Return the excess that the estimates predict for a worker."""
        return self._predict(service_class(worker), worker.exposures())

    def _aged_exposures(
        self, worker: WorkerState, unix_ms: int
    ) -> dict[str, float]:
        """Return shares by class; a new neighbour counts by its age."""
        lag_ms = self._settings.report_lag_ms
        exposures: dict[str, float] = {}
        for task in worker.tasks:
            age = min(1.0, max(0, unix_ms - task.placed_unix_ms) / lag_ms)
            name = task_class(task)
            exposures[name] = (
                exposures.get(name, 0.0) + worker.share(task) * age
            )
        return exposures

    def _learn_service(
        self,
        name: str,
        reports: list[tuple[float, dict[str, float]]],
        unix_ms: int,
    ) -> None:
        # Not corrected by the predicted excess: an estimate that is too high
        # would lower the baseline, which would raise the estimate further.
        latencies_ms = [latency_ms for latency_ms, _ in reports]
        baseline_ms = self.baselines_ms.get(name)
        if baseline_ms is None:
            baseline_ms = min(latencies_ms)
        below = sum(value < baseline_ms for value in latencies_ms)
        surplus = BASELINE_QUANTILE - below / len(latencies_ms)
        baseline_ms *= math.exp(
            BASELINE_STEP * min(8, len(latencies_ms)) * surplus
        )
        self.baselines_ms[name] = baseline_ms
        for latency_ms, exposures in reports:
            self._learn(
                name, latency_ms / baseline_ms - 1.0, exposures, unix_ms
            )

    def _learn_tasks(
        self, worker: WorkerState, exposures: dict[str, float], unix_ms: int
    ) -> None:
        reporting = [
            task for task in worker.tasks if self._has_report(task, unix_ms)
        ]
        if len(reporting) > TASKS_PER_WORKER:
            reporting = self._rng.sample(reporting, TASKS_PER_WORKER)
        for task in reporting:
            name = task_class(task)
            others = dict(exposures)
            others[name] = max(0.0, others[name] - worker.share(task))
            self._learn(name, task.observed_slowdown - 1.0, others, unix_ms)

    def _has_report(self, task: TaskView, unix_ms: int) -> bool:
        # A throttled task is slow by decision, not by its neighbours.
        return (
            task.observed_slowdown > 0.0
            and task.throttle_share >= 1.0
            and task.state in ACTIVE_STATES
            and unix_ms - task.placed_unix_ms >= self._settings.report_lag_ms
        )

    def _predict(self, name: str, exposures: dict[str, float]) -> float:
        if not self._settings.has("interference"):
            return 0.0
        return sum(
            self.pairs.mean((name, other)) * share
            for other, share in exposures.items()
        )

    def _learn(
        self,
        name: str,
        excess: float,
        exposures: dict[str, float],
        unix_ms: int,
    ) -> None:
        if not self._settings.has("interference"):
            return
        squares = sum(share * share for share in exposures.values())
        if squares < 1e-4:
            return
        error = excess - self._predict(name, exposures)
        for other, share in exposures.items():
            key = (name, other)
            sample = self.pairs.mean(key) + error * share / squares
            weight = min(1.0, (share / FULL_WEIGHT_EXPOSURE) ** 2)
            self.pairs.add(
                key,
                max(-1.0, min(LARGEST_SAMPLE, sample)),
                weight,
                unix_ms,
            )
