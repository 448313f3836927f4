"""Throttles and evictions of tasks that disturb request services."""

from sardinespool.messages.tasks import TaskView
from sardinespool.messages.tasks import Throttle
from sardinespool.placement.demand import task_class
from sardinespool.placement.fleet import Fleet
from sardinespool.placement.fleet import WorkerState
from sardinespool.placement.interference import InterferenceModel
from sardinespool.placement.interference import service_class
from sardinespool.placement.plan import Eviction
from sardinespool.placement.settings import PolicySettings
from sardinespool.placement.tokens import TokenBucket

TARGET = 0.9
"""Throttles aim at this part of the limit, so that noise in the reports does
not cross it again at once."""

SMALLEST_EFFECT = 0.05
"""A task that adds less to the latency is not worth a throttle."""


class NoiseControl:
    """Acts on workers whose request latency is above its baseline.

    Throttles come first; a task is evicted only when the noisiest ones are
    at the smallest share and the latency is still high. Half of the eviction
    burst is left to urgent tasks.
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
        self, fleet: Fleet, budget: TokenBucket, evicted: set[str]
    ) -> None:
        """Decide for every worker that serves requests."""
        self.throttles = []
        self.evictions = []
        keep = budget.available() / 2.0
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
                worker, budget, keep, evicted, fleet.unix_ms
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
        worker: WorkerState,
        budget: TokenBucket,
        keep: float,
        evicted: set[str],
        unix_ms: int,
    ) -> bool:
        settings = self._settings
        ratio = self._ratio(worker, unix_ms)
        excess = ratio - TARGET * settings.throttle_above
        if ratio < settings.throttle_above:
            return self._release(worker, -excess)
        noisy = [
            (self._effect(worker, task), task)
            for task in worker.tasks
            if task.state == "running"
            and task.job.kind == "batch"
            and task.job.priority != "urgent"
            and task.task_id not in evicted
        ]
        noisy = [pair for pair in noisy if pair[0] >= SMALLEST_EFFECT]
        # The loudest for its size first: it costs the least batch work.
        noisy.sort(
            key=lambda pair: (
                -pair[0] / max(1e-6, worker.share(pair[1])),
                pair[1].task_id,
            )
        )
        if settings.has("throttle") and self._throttle_some(noisy, excess):
            return True
        if ratio < settings.evict_above or not noisy:
            return False
        if settings.has("noise-evictions") and budget.take(1, keep):
            task = noisy[0][1]
            evicted.add(task.task_id)
            self.evictions.append(
                Eviction(task.task_id, "disturbs a request service")
            )
            return True
        return False

    def _ratio(self, worker: WorkerState, unix_ms: int) -> float:
        """Return the reported ratio plus what reports don't show yet."""
        ratio = 1.0 + self._model.service_excess(worker)
        if not self._settings.has("interference"):
            return ratio
        for task in worker.tasks:
            age_ms = unix_ms - task.placed_unix_ms
            if age_ms < self._settings.report_lag_ms:
                ratio += self._coefficient(worker, task) * worker.share(task)
        return ratio

    def _coefficient(self, worker: WorkerState, task: TaskView) -> float:
        key = (service_class(worker), task_class(task))
        return max(0.0, self._model.pairs.mean(key))

    def _effect(self, worker: WorkerState, task: TaskView) -> float:
        share = worker.share(task)
        if not self._settings.has("interference"):
            return share
        key = (service_class(worker), task_class(task))
        return self._model.pairs.lower(key) * share

    def _throttle_some(
        self, noisy: list[tuple[float, TaskView]], excess: float
    ) -> bool:
        """Throttle tasks until their effects add up to the excess."""
        minimum = self._settings.throttle_minimum
        acted = False
        for effect, task in noisy:
            if task.throttle_share <= minimum:
                continue
            if excess <= 0.0:
                break
            kept = max(
                minimum / task.throttle_share, 1.0 - excess / effect, 0.0
            )
            self._throttle(task, task.throttle_share * kept)
            excess -= effect * (1.0 - kept)
            acted = True
        return acted

    def _release(self, worker: WorkerState, headroom: float) -> bool:
        """Raise shares, the quietest task's first, within the headroom."""
        throttled = [
            (self._coefficient(worker, task), task)
            for task in worker.tasks
            if task.throttle_share < 1.0 and task.state == "running"
        ]
        throttled.sort(key=lambda pair: (pair[0], pair[1].task_id))
        acted = False
        for coefficient, task in throttled:
            if headroom <= 0.0:
                break
            whole = worker.share(task) / max(0.01, task.throttle_share)
            per_share = max(1e-6, coefficient * whole)
            raised = min(1.0, task.throttle_share + headroom / per_share)
            if raised - task.throttle_share < 0.05:
                break
            self._throttle(task, raised)
            headroom -= per_share * (raised - task.throttle_share)
            acted = True
        return acted

    def _throttle(self, task: TaskView, share: float) -> None:
        share = min(1.0, max(self._settings.throttle_minimum, share))
        self.throttles.append(
            Throttle(task_id=task.task_id, share=round(share, 2))
        )
