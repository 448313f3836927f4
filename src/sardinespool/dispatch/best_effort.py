"""Scoring of workers for best-effort tasks, which use leftover processors."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from sardinespool.dispatch.pace_controller import NEGLIGIBLE_INTERFERENCE
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord

FORECAST_OFFSETS_MS = (300, 1_000, 1_700, 2_400)
"""Offsets at which the pace of a task is forecast.

They cover the typical run time of a task, about two and a half seconds.
"""
HEADROOM_CACHE_MS = 250
"""Lifetime of cached headroom forecasts: half the interval at which tail
latencies are measured."""
START_SPEED_MIN = 0.4
"""Least expected share of full speed at which a task starts; a slower task
waits for another worker."""
STARVED_START_SPEED_MIN = 0.1
"""Least share of its processors that a starved task must find."""
EXPLORATION_MS = 1_200
"""Time to measure the interference of a pair after its first start: two
tail latency reports."""
CONTENDED_WORKER_BONUS = 0.3
"""Expected speed that a task forgoes for a worker on which all other waiting
tasks would interfere, which leaves the other workers to them."""
STARVED_PACE = 10
"""Initial pace in percent of a task of a starved step, until the first list
of its worker gives the allowed pace."""
INTERFERENCE_PENALTY = 0.5
"""Deduction per unit of consumed headroom, in shares of full speed."""

HeadroomForecasts = Sequence[tuple[str, Sequence[float]]]
"""Spare headroom of each serving image at `FORECAST_OFFSETS_MS`."""


class BestEffortScorer:
    """Scores workers by the expected speed of best-effort tasks.

    Parameters
    ----------
    model : TailModel
        Interference by pair of images, and load curves.
    """

    def __init__(self, model: TailModel) -> None:
        self._model = model
        self._headroom_cache: dict[
            str, tuple[int, int, HeadroomForecasts]
        ] = {}
        self._waiting_share: Mapping[str, float] = {}
        self._explored_pairs: dict[tuple[str, str], int] = {}
        self._explored_workers: dict[str, int] = {}
        self._contention: dict[str, float] = {}
        self._now_boot_ms = 0

    def copy(self) -> "BestEffortScorer":
        """Return a copy for another pass on the same workers."""
        scorer = BestEffortScorer(self._model)
        scorer._explored_pairs.update(self._explored_pairs)
        scorer._explored_workers.update(self._explored_workers)
        return scorer

    def begin_pass(
        self, waiting_share: Mapping[str, float], now_boot_ms: int
    ) -> None:
        """Start a pass with each image's share of the waiting tasks."""
        self._waiting_share = waiting_share
        self._contention.clear()
        self._now_boot_ms = now_boot_ms

    def retain_workers(self, worker_ids: set[str]) -> None:
        """Drop the cached state of all other workers."""
        for worker_id in self._headroom_cache.keys() - worker_ids:
            del self._headroom_cache[worker_id]
        for worker_id in self._explored_workers.keys() - worker_ids:
            del self._explored_workers[worker_id]

    def score_worker(
        self, spec: StepSpec, worker: WorkerState, starved: bool
    ) -> float | None:
        """Return the score of a worker for a task, None if it must wait.

        Parameters
        ----------
        starved : bool
            Whether the task has waited for so long that it starts wherever
            processors are left, even if it will be throttled there.
        """
        task_millicores = max(1, spec.processors_millicores)
        available_share = min(
            1.0, worker.leftover_millicores / task_millicores
        )
        if available_share < (
            STARVED_START_SPEED_MIN if starved else START_SPEED_MIN
        ):
            return None
        share = task_millicores / worker.reference_millicores
        speed_forecast = [1.0] * len(FORECAST_OFFSETS_MS)
        contention = 0.0
        worst_cost = 0.0
        use = worker.declared_best_effort_use()
        for image, forecasts in self._forecast_headroom(worker):
            if not starved and self._awaits_exploration(
                image, spec.image, worker.worker_id
            ):
                return None
            cost = self._model.interference(image, spec.image) * share
            if cost > NEGLIGIBLE_INTERFERENCE:
                worst_cost = max(worst_cost, cost)
                taken = self._model.total_interference(image, use)
                # A run has full pace until its first pace change, and a tail
                # latency shows the worst part of its half second.
                if forecasts[0] - taken < cost and not starved:
                    return None
                for index, headroom in enumerate(forecasts):
                    allowed = max(0.0, headroom - taken) / cost
                    speed_forecast[index] = min(speed_forecast[index], allowed)
            contention = max(contention, self._contention_of(image))
        speed = available_share * sum(speed_forecast) / len(speed_forecast)
        if speed < START_SPEED_MIN and not starved:
            return None
        return (
            speed
            + CONTENDED_WORKER_BONUS * contention
            - INTERFERENCE_PENALTY * worst_cost
        )

    def dissimilarity(self, first: str, second: str) -> float:
        """Return how differently best-effort images affect two serving images.

        The result is the share of best-effort images that interfere with only
        one of the two; it is one half while nothing is known.
        """
        return self._model.dissimilarity(first, second)

    def record_start(self, spec: StepSpec, worker: WorkerState) -> None:
        """Record a start, which measures the pairs still uncertain."""
        for image in worker.serving_images:
            if self._model.is_uncertain(image, spec.image):
                self._explored_pairs[image, spec.image] = self._now_boot_ms
                self._explored_workers[worker.worker_id] = self._now_boot_ms

    def _awaits_exploration(
        self, serving: str, best_effort: str, worker_id: str
    ) -> bool:
        """Return whether a pair must wait for a measurement in progress.

        One start is enough to measure a pair, and the effects of two on one
        worker can't be told apart.
        """
        if not self._model.is_uncertain(serving, best_effort):
            return False
        since_boot_ms = self._now_boot_ms - EXPLORATION_MS
        return (
            self._explored_pairs.get((serving, best_effort), 0) > since_boot_ms
            or self._explored_workers.get(worker_id, 0) > since_boot_ms
        )

    def _forecast_headroom(self, worker: WorkerState) -> HeadroomForecasts:
        """Return the spare headroom of each serving image running alone."""
        cached = self._headroom_cache.get(worker.worker_id)
        run_count = len(worker.runs)
        if (
            cached is not None
            and cached[1] == run_count
            and self._now_boot_ms - cached[0] < HEADROOM_CACHE_MS
        ):
            return cached[2]
        required_headroom = 1.0 + self._model.margin
        forecasts: dict[str, list[float]] = {}
        for run in worker.runs.values():
            step = run.step
            if step is None or not step.spec.tail_latency_target_ms:
                continue
            image = step.spec.image
            forecast = [
                self._model.headroom(
                    step.key, image, run.tail, self._now_boot_ms + offset_ms
                )
                - required_headroom
                for offset_ms in FORECAST_OFFSETS_MS
            ]
            other_forecast = forecasts.get(image)
            forecasts[image] = (
                forecast
                if other_forecast is None
                else [
                    min(pair)
                    for pair in zip(forecast, other_forecast, strict=True)
                ]
            )
        result = list(forecasts.items())
        self._headroom_cache[worker.worker_id] = (
            self._now_boot_ms,
            run_count,
            result,
        )
        return result

    def _contention_of(self, serving: str) -> float:
        """Return the share of waiting tasks that interfere with an image."""
        contention = self._contention.get(serving)
        if contention is None:
            contention = sum(
                share
                for image, share in self._waiting_share.items()
                if self._model.interferes(serving, image)
            )
            self._contention[serving] = contention
        return contention


def best_effort_demand(steps: Iterable[StepRecord]) -> dict[str, float]:
    """Return the share of the waiting best-effort tasks by image."""
    waiting: dict[str, float] = {}
    for step in steps:
        if step.spec.uses_leftover_processors:
            image = step.spec.image
            waiting[image] = waiting.get(image, 0.0) + len(step.waiting)
    total = sum(waiting.values())
    return {image: count / total for image, count in waiting.items()}
