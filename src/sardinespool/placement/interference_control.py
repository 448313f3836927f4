"""Throttling and eviction of tasks that slow request services down."""

from sardinespool.messages.tasks import TaskView
from sardinespool.messages.tasks import Throttle
from sardinespool.placement.demand import task_class
from sardinespool.placement.fleet import FleetState
from sardinespool.placement.fleet import WorkerCapacity
from sardinespool.placement.interference import InterferenceModel
from sardinespool.placement.interference import service_class
from sardinespool.placement.plan import Eviction
from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.token_bucket import TokenBucket

TARGET_FACTOR = 0.9
"""Part of the limit that throttles aim at.

Below 1, so that variation of the reports does not exceed the limit again at
once.
"""

MINIMUM_EFFECT = 0.05
"""Smallest contribution to the latency ratio that is worth a throttle."""


class InterferenceControl:
    """Limits interference on workers with a high request latency.

    Tasks are throttled first. A task is evicted only if the latency is still
    high when the tasks that interfere most have the minimum share. Half of
    the available eviction budget is reserved for urgent tasks.
    """

    def __init__(
        self, settings: PolicySettings, model: InterferenceModel
    ) -> None:
        self._settings = settings
        self._model = model
        self._decided_unix_ms: dict[str, int] = {}
        self.throttles: list[Throttle] = []
        self.evictions: list[Eviction] = []

    def decide(
        self, fleet: FleetState, budget: TokenBucket, evicted: set[str]
    ) -> None:
        """Decide on throttles and evictions for every usable worker."""
        self.throttles = []
        self.evictions = []
        reserved_tokens = budget.available() / 2.0
        for worker in fleet.usable():
            if not worker.tasks:
                continue
            decided_unix_ms = self._decided_unix_ms.get(
                worker.view.worker_id, 0
            )
            waited_ms = fleet.unix_ms - decided_unix_ms
            if waited_ms < self._settings.decision_interval_ms:
                continue
            if self._decide_worker(
                worker, budget, reserved_tokens, evicted, fleet.unix_ms
            ):
                self._decided_unix_ms[worker.view.worker_id] = fleet.unix_ms
        if len(self._decided_unix_ms) > 2 * len(fleet.workers):
            self._decided_unix_ms = {
                worker_id: unix_ms
                for worker_id, unix_ms in self._decided_unix_ms.items()
                if worker_id in fleet.workers
            }

    def _decide_worker(
        self,
        worker: WorkerCapacity,
        budget: TokenBucket,
        reserved_tokens: float,
        evicted: set[str],
        unix_ms: int,
    ) -> bool:
        settings = self._settings
        ratio = self._latency_ratio(worker, unix_ms)
        excess = ratio - TARGET_FACTOR * settings.throttle_above
        if ratio < settings.throttle_above:
            return self._relax_throttles(worker, -excess)
        interfering = [
            (self._latency_effect(worker, task), task)
            for task in worker.tasks
            if task.state == "running"
            and task.job.kind == "batch"
            and task.job.priority != "urgent"
            and task.task_id not in evicted
        ]
        interfering = [
            pair for pair in interfering if pair[0] >= MINIMUM_EFFECT
        ]
        # Highest effect per processor share first: this costs the least batch
        # work.
        interfering.sort(
            key=lambda pair: (
                -pair[0] / max(1e-6, worker.task_share(pair[1])),
                pair[1].task_id,
            )
        )
        if settings.has("throttle") and self._throttle_tasks(
            interfering, excess
        ):
            return True
        if ratio < settings.evict_above or not interfering:
            return False
        if settings.has("noise-evictions") and budget.take(1, reserved_tokens):
            task = interfering[0][1]
            evicted.add(task.task_id)
            self.evictions.append(
                Eviction(task.task_id, "disturbs a request service")
            )
            return True
        return False

    def _latency_ratio(self, worker: WorkerCapacity, unix_ms: int) -> float:
        """Return the reported ratio plus the effect of tasks just placed."""
        ratio = 1.0 + self._model.service_excess(worker)
        if not self._settings.has("interference"):
            return ratio
        for task in worker.tasks:
            age_ms = unix_ms - task.placed_unix_ms
            if age_ms < self._settings.report_lag_ms:
                ratio += self._slowdown_per_share(
                    worker, task
                ) * worker.task_share(task)
        return ratio

    def _slowdown_per_share(
        self, worker: WorkerCapacity, task: TaskView
    ) -> float:
        key = (service_class(worker), task_class(task))
        return max(0.0, self._model.pairs.mean(key))

    def _latency_effect(self, worker: WorkerCapacity, task: TaskView) -> float:
        share = worker.task_share(task)
        if not self._settings.has("interference"):
            return share
        key = (service_class(worker), task_class(task))
        return self._model.pairs.lower(key) * share

    def _throttle_tasks(
        self, interfering: list[tuple[float, TaskView]], excess: float
    ) -> bool:
        """Throttle tasks until the expected effect covers the excess."""
        minimum = self._settings.throttle_minimum
        changed = False
        for effect, task in interfering:
            if task.throttle_share <= minimum:
                continue
            if excess <= 0.0:
                break
            remaining_factor = max(
                minimum / task.throttle_share, 1.0 - excess / effect, 0.0
            )
            self._set_throttle(task, task.throttle_share * remaining_factor)
            excess -= effect * (1.0 - remaining_factor)
            changed = True
        return changed

    def _relax_throttles(
        self, worker: WorkerCapacity, headroom: float
    ) -> bool:
        """Raise shares within the headroom, least interfering task first."""
        throttled = [
            (self._slowdown_per_share(worker, task), task)
            for task in worker.tasks
            if task.throttle_share < 1.0 and task.state == "running"
        ]
        throttled.sort(key=lambda pair: (pair[0], pair[1].task_id))
        changed = False
        for slowdown, task in throttled:
            if headroom <= 0.0:
                break
            unthrottled_share = worker.task_share(task) / max(
                0.01, task.throttle_share
            )
            effect_per_share = max(1e-6, slowdown * unthrottled_share)
            new_share = min(
                1.0, task.throttle_share + headroom / effect_per_share
            )
            if new_share - task.throttle_share < 0.05:
                break
            self._set_throttle(task, new_share)
            headroom -= effect_per_share * (new_share - task.throttle_share)
            changed = True
        return changed

    def _set_throttle(self, task: TaskView, share: float) -> None:
        share = min(1.0, max(self._settings.throttle_minimum, share))
        self.throttles.append(
            Throttle(task_id=task.task_id, share=round(share, 2))
        )
