"""Pace of best-effort tasks that share a worker with serving tasks."""

from sardinespool.clock import Instant
from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.tail_model import headroom_of
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.observability.logs import get_logger

FORECAST_HORIZONS_MS = (200, 650, 1_100)
"""Offsets at which a pace must keep tail latencies below their targets: it
takes effect after 100 ms and is replaced within a second after that."""
PACE_INTERVAL_MS = 400
"""Least time between pace changes on a worker; tail latencies are measured
every half second."""
REPORT_INTERVAL_MS = 400
"""Reports at a shorter interval repeat the same measurement."""
LOW_HEADROOM = 1.3
"""Headroom below which the measured tail latency overrides the forecast."""
PACE_MIN = 8
"""Percent below which a run is suspended, as it would hardly progress."""
PACE_CHANGE_MIN = 8
"""Least increase in percent that justifies an order."""
MEASURED_PACE_MIN = 30
"""Pace in percent from which the use at full pace can be extrapolated."""
MEASURED_AGE_MS = 1_000
"""Age of a run from which its use is measured over a full interval."""
USE_SHARE_MIN = 0.25
"""Least share of its declared processors that a run is assumed to use."""
USE_GROWTH_FACTOR = 1.15
"""Factor by which the use of a run may exceed its last measurement."""

NEGLIGIBLE_INTERFERENCE = 0.03
"""Headroom that a task at full pace may consume without being throttled:
within the rounding of a tail latency to whole milliseconds."""

_LOG = get_logger("dispatch")

HeadroomBudgets = dict[str, float]
"""Headroom that best-effort tasks may consume, by serving image."""


class PaceController:
    """Learns from reports and sets the pace of runs, one worker at a time.

    Parameters
    ----------
    model : TailModel
        Interference by pair of images, and load curves.
    """

    def __init__(self, model: TailModel) -> None:
        self._model = model

    def update_paces(self, worker: WorkerState, now: Instant) -> None:
        """Set the target pace of best-effort runs from the latest list.

        Parameters
        ----------
        worker : WorkerState
            Worker whose runs were just listed.
        now : Instant
            Time of the list.
        """
        worker.measure_best_effort_use()
        budgets: HeadroomBudgets = {}
        best_effort_runs: list[RunState] = []
        for run in worker.runs.values():
            step = run.step
            if step is None or run.phase is not RunPhase.RUNNING:
                continue
            target_ms = step.spec.tail_latency_target_ms
            if target_ms and run.load:
                self._observe_tail(worker, run, target_ms, run.load, now)
                budget = self._headroom_budget(
                    worker, run, target_ms, run.load, now
                )
                image = step.spec.image
                budgets[image] = min(budgets.get(image, budget), budget)
            elif step.spec.uses_leftover_processors and not run.stop_requested:
                best_effort_runs.append(run)
        elapsed_ms = now.boot_ms - worker.pace_changed_boot_ms
        if not best_effort_runs or elapsed_ms < PACE_INTERVAL_MS:
            return
        # Runs that hardly interfere here come first, since most of them fit;
        # of the others, the run that was placed first was the most urgent.
        best_effort_runs.sort(
            key=lambda run: (
                self._interferes_here(run, budgets),
                run.ordered_boot_ms,
            )
        )
        changed = False
        for run in best_effort_runs:
            changed |= self._allocate_pace(worker, run, budgets, now)
        if changed:
            worker.pace_changed_boot_ms = now.boot_ms

    def _observe_tail(
        self,
        worker: WorkerState,
        run: RunState,
        target_ms: int,
        tail_ms: int,
        now: Instant,
    ) -> None:
        step = run.step
        if step is None or (
            now.boot_ms - run.tail.sampled_ms < REPORT_INTERVAL_MS
        ):
            return
        self._model.observe(
            step.key,
            step.spec.image,
            run.tail,
            headroom_of(target_ms, tail_ms),
            target_ms,
            worker.best_effort_use,
            now.boot_ms,
        )

    def _headroom_budget(
        self,
        worker: WorkerState,
        run: RunState,
        target_ms: int,
        tail_ms: int,
        now: Instant,
    ) -> float:
        """Return the headroom that best-effort runs may take from a run."""
        step = run.step
        if step is None:
            return 0.0
        image = step.spec.image
        key = step.key
        required_headroom = 1.0 + self._model.margin
        expected = [
            self._model.headroom(key, image, run.tail, now.boot_ms + offset_ms)
            for offset_ms in FORECAST_HORIZONS_MS
        ]
        budget = min(expected) - required_headroom
        measured = headroom_of(target_ms, tail_ms)
        if measured < LOW_HEADROOM:
            interference = self._model.total_interference(
                image, worker.best_effort_use
            )
            budget = min(budget, interference + measured - required_headroom)
        return budget

    def _interferes_here(
        self, run: RunState, budgets: HeadroomBudgets
    ) -> bool:
        step = run.step
        return step is not None and any(
            self._model.interferes(image, step.spec.image) for image in budgets
        )

    def _allocate_pace(
        self,
        worker: WorkerState,
        run: RunState,
        budgets: HeadroomBudgets,
        now: Instant,
    ) -> bool:
        """Set the pace that the budgets allow and deduct its cost."""
        step = run.step
        if step is None:
            return False
        share = _full_pace_millicores(run, now) / worker.reference_millicores
        costs: dict[str, float] = {}
        pace = FULL_PACE
        limiting_image = ""
        for image, budget in budgets.items():
            cost = self._model.interference(image, step.spec.image) * share
            costs[image] = cost
            if cost > NEGLIGIBLE_INTERFERENCE:
                allowed = int(FULL_PACE * max(0.0, budget) / cost)
                if allowed < pace:
                    pace, limiting_image = allowed, image
        if pace < PACE_MIN:
            pace = 0
        raised = pace - run.target_pace
        if 0 < raised < PACE_CHANGE_MIN and pace < FULL_PACE:
            pace = run.target_pace
        if pace != run.target_pace:
            _LOG.info(
                "pace",
                task=run.task_key,
                run=run.run,
                worker=worker.worker_id,
                percent=pace,
                earlier_percent=run.target_pace,
                image=step.spec.image,
                beside=limiting_image,
                room=round(budgets.get(limiting_image, 0.0), 2),
                cost=round(costs.get(limiting_image, 0.0), 2),
                margin=round(self._model.margin, 2),
            )
        for image, cost in costs.items():
            budgets[image] -= cost * pace / FULL_PACE
        return _set_target_pace(worker, run, pace)


def _full_pace_millicores(run: RunState, now: Instant) -> float:
    """Return the millicores that a run would use at full pace."""
    step = run.step
    if step is None:
        return 0.0
    declared = step.spec.processors_millicores
    if (
        run.load is None
        or now.boot_ms - run.ordered_boot_ms < MEASURED_AGE_MS
        or not run.pace_known
        or run.pace < MEASURED_PACE_MIN
        or run.pace != run.target_pace
    ):
        return declared
    # Other best-effort runs may leave it less than it could use.
    measured_millicores = run.load * FULL_PACE / run.pace * USE_GROWTH_FACTOR
    return min(declared, max(declared * USE_SHARE_MIN, measured_millicores))


def _set_target_pace(worker: WorkerState, run: RunState, pace: int) -> bool:
    if run.target_pace == pace:
        return False
    run.target_pace = pace
    if run.needs_order:
        worker.pending[run.key] = run
    return True
