"""Expected room on the workers of racks, during one planning pass."""

import itertools
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from sardinespool.dispatch.near_place import expected_wait_ms
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.run_time_forecast import RunTimeForecast
from sardinespool.dispatch.run_times import RunTimes
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.workflows.records import StepRecord

END_SHARES = (0.125, 0.375, 0.625, 0.875)
"""Quantiles of the end of a run, each of which stands for a quarter of it."""

RackKey = tuple[str, str]
"""Pool and rack."""


class NearSupply:
    """Forecasts when the runs of a rack free their processors.

    The expected ends of a run are kept with it until all have passed, so that
    a pass costs no more than a sum over the runs of the wanted racks.

    Parameters
    ----------
    run_times : RunTimes
        Learned run times.
    """

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._now_boot_ms = 0
        self._candidates: Mapping[str, Iterable[WorkerState]] = {}
        self._free_shares: dict[str, float] = {}
        self._workers: dict[RackKey, list[WorkerState]] = {}
        self._freed: dict[RackKey, list[tuple[float, float]]] = {}
        self._ahead: dict[RackKey, float] = {}

    def begin_pass(
        self,
        candidates: Mapping[str, Iterable[WorkerState]],
        wanted: Collection[str],
        with_all_racks: bool,
        now_boot_ms: int,
    ) -> None:
        """Find the workers of the racks that a pass is about.

        Parameters
        ----------
        candidates : mapping of str to iterable of WorkerState
            Workers that accept starts, by pool.
        wanted : collection of str
            Racks that hold the data of waiting tasks.
        with_all_racks : bool
            Whether all racks count, as a gang waits that any of them suits.
        now_boot_ms : int
            Time of the pass on the boot clock.
        """
        self._now_boot_ms = now_boot_ms
        self._candidates = candidates
        self._free_shares.clear()
        self._workers.clear()
        self._freed.clear()
        self._ahead.clear()
        if not wanted and not with_all_racks:
            return
        for pool, workers in candidates.items():
            for worker in workers:
                description = worker.description
                racks = {rack for rack in description.labels if rack in wanted}
                if with_all_racks and description.rack:
                    racks.add(description.rack)
                for rack in racks:
                    self._workers.setdefault((pool, rack), []).append(worker)

    def workers_of(self, rack: RackKey) -> Sequence[WorkerState]:
        """Return the workers of a rack that accept starts."""
        return self._workers.get(rack, ())

    def racks_of(self, pool: str) -> list[str]:
        """Return the racks of a pool that have such workers."""
        return [rack for name, rack in self._workers if name == pool]

    def reserve(self, rack: RackKey, demand: float) -> None:
        """Count processors for which tasks wait before all later ones."""
        self._ahead[rack] = self._ahead.get(rack, 0.0) + demand

    def wait_ms(self, step: StepRecord, rack: RackKey, demand: float) -> float:
        """Return when a rack is expected to have freed a demand.

        What is free now is left out: it did not suffice for the task.
        """
        return expected_wait_ms(
            self._freed_of(rack),
            self._ahead.get(rack, 0.0) + demand,
            self.forecast(step).median_ms,
        )

    def forecast(self, step: StepRecord) -> RunTimeForecast:
        """Return the run time of a task of a step on a near worker."""
        workflow = step.workflow
        return self._run_times.forecast(
            workflow.job_id, workflow.queue.name, step.spec
        )

    def free_share(self, pool: str) -> float:
        """Return the free share of the processors of a pool."""
        share = self._free_shares.get(pool)
        if share is None:
            total = free = 0
            for worker in self._candidates.get(pool, ()):
                total += worker.description.processors_millicores
                free += max(0, worker.free_millicores)
            share = self._free_shares[pool] = free / max(1, total)
        return share

    def _freed_of(self, rack: RackKey) -> Sequence[tuple[float, float]]:
        """Return what the runs of a rack free up to the times from now."""
        freed = self._freed.get(rack)
        if freed is None:
            parts = sorted(
                (end_ms - self._now_boot_ms, part)
                for worker in self._workers.get(rack, ())
                for run in worker.runs.values()
                for end_ms, part in self._parts_of(run)
            )
            sums = itertools.accumulate(part for _, part in parts)
            times = (time_ms for time_ms, _ in parts)
            freed = self._freed[rack] = list(zip(times, sums, strict=True))
        return freed

    def _parts_of(self, run: RunState) -> list[tuple[float, float]]:
        """Return the expected ends of a run, each with what it frees."""
        step = run.step
        if (
            step is None
            or step.spec.long_running
            or step.spec.uses_leftover_processors
        ):
            return []
        millicores = max(1, step.spec.processors_millicores)
        now_ms = float(self._now_boot_ms)
        if run.phase is RunPhase.ENDED:
            return [(now_ms, millicores)]
        ends = [end for end in run.expected_ends_boot_ms if end > now_ms]
        if not ends:
            forecast = self.forecast(step)
            elapsed_ms = (now_ms - run.ordered_boot_ms) / run.slowdown
            ends = [
                now_ms + run.slowdown * forecast.quantile_ms(share, elapsed_ms)
                for share in END_SHARES
            ]
            run.expected_ends_boot_ms = tuple(ends)
        return [(end, millicores / len(ends)) for end in ends]


def can_ever_take(worker: WorkerState, step: StepRecord) -> bool:
    """Return whether a task of a step fits once other steps' have ended."""
    required = step.spec.required_label
    return slots_ever(worker, step) > 0 and (
        not required or required in worker.description.labels
    )


def slots_ever(worker: WorkerState, step: StepRecord) -> int:
    """Return how many tasks of a step fit beside no tasks of other steps."""
    description = worker.description
    return _slots(
        step,
        worker,
        description.processors_millicores,
        description.memory_mb,
        description.accelerators,
    )


def free_slots(worker: WorkerState, step: StepRecord) -> int:
    """Return how many tasks of a step fit on a worker now."""
    return _slots(
        step,
        worker,
        worker.free_millicores,
        worker.free_memory_mb,
        worker.free_accelerators,
    )


def _slots(
    step: StepRecord,
    worker: WorkerState,
    millicores: int,
    memory_mb: int,
    accelerators: int,
) -> int:
    spec = step.spec
    slots = spec.count
    if spec.tasks_per_worker_max:
        running = sum(run.step is step for run in worker.runs.values())
        slots = min(slots, max(0, spec.tasks_per_worker_max - running))
    if worker.on_probation and not spec.long_running:
        # `Placer` gives such a worker one finite run at a time. One that has
        # a run is no candidate, so this one is the first.
        slots = min(slots, 1)
    for need, free in (
        (spec.processors_millicores, millicores),
        (spec.memory_mb, memory_mb),
        (spec.accelerators, accelerators),
    ):
        if need > 0:
            slots = min(slots, max(0, free) // need)
    return slots
