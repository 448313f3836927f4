"""Tasks that wait for a worker near their data, during planning passes.

The waits are held by the leader. A new one knows neither how long a task has
waited nor how long runs have taken, so it lets none wait for its first two
seconds.
"""

import dataclasses
import math
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from sardinespool.clock import Instant
from sardinespool.dispatch.estimates_schedule import EstimatesSchedule
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.near_place import CONTENDED_FREE_SHARE
from sardinespool.dispatch.near_place import decide
from sardinespool.dispatch.near_place import NearChoice
from sardinespool.dispatch.near_place import NearVerdict
from sardinespool.dispatch.near_place import WAIT_MAX_MS
from sardinespool.dispatch.near_supply import can_ever_take
from sardinespool.dispatch.near_supply import free_slots
from sardinespool.dispatch.near_supply import NearSupply
from sardinespool.dispatch.near_supply import RackKey
from sardinespool.dispatch.near_supply import slots_ever
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.workflows import StepSpec
from sardinespool.observability.logs import get_logger
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.table import StepKey

SURE_SHARE = 0.9
"""Share of the remote starts that must meet the objective for one to count as
meeting it: the median lets a wait end for starts of which half are late."""
SURE_TASKS = math.log(0.5) / math.log(SURE_SHARE)
"""The last of this many times the tasks ends, in the median, when the last of
the tasks has ended with that share."""

_LOG = get_logger("dispatch")


class NearWaits:
    """Lets tasks wait for workers of the rack that holds their data.

    Long-running and best-effort steps don't wait: the former have no run time
    that a rack would shorten, the latter find processors rather by
    interference.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    estimates : EstimatesSchedule
        Start of the leadership, and learned run times.
    settings : DispatchSettings
        Contains the factor by which remote tasks take longer.
    metrics : DispatchMetrics
        Counts starts near and away from the data.
    """

    def __init__(
        self,
        machine: ControlMachine,
        estimates: EstimatesSchedule,
        settings: DispatchSettings,
        metrics: DispatchMetrics,
    ) -> None:
        self._machine = machine
        self._settings = settings
        self._factor = settings.remote_factor
        self._metrics = metrics
        self._logs = True
        self._since: dict[StepKey, int] = {}
        self._logged: dict[StepKey, int] = {}
        self._estimates = estimates
        self._now = Instant(0, 0)
        self._supply = NearSupply(estimates.run_times)

    def copy(
        self, machine: ControlMachine, metrics: DispatchMetrics
    ) -> "NearWaits":
        """Return a copy for another pass, which writes no log lines."""
        near = NearWaits(machine, self._estimates, self._settings, metrics)
        near._since.update(self._since)
        near._logs = False
        return near

    def is_waiting(self, step: StepRecord) -> bool:
        """Return whether a step waits for a near worker."""
        return step.key in self._since

    def reset(self) -> None:
        """Forget the waits of an earlier leadership."""
        self._since.clear()
        self._logged.clear()
        self._metrics.near_waiting_steps.set(0)

    def retain(self, ready: Container[StepKey], now: Instant) -> None:
        """End the waits of the steps that are not ready any more."""
        self._now = now
        for key in [key for key in self._since if key not in ready]:
            self._end_wait(key)

    def begin_pass(
        self,
        ready: Mapping[StepKey, StepRecord],
        candidates: Mapping[str, Iterable[WorkerState]],
        now: Instant,
    ) -> None:
        """Start a planning pass.

        Parameters
        ----------
        ready : mapping of StepKey to StepRecord
            All ready steps.
        candidates : mapping of str to iterable of WorkerState
            Workers that accept starts, by pool.
        now : Instant
            Time of the pass.
        """
        if self._factor <= 1.0:
            return
        self._logged = {
            key: at_ms for key, at_ms in self._logged.items() if key in ready
        }
        self._supply.begin_pass(
            candidates,
            {
                step.spec.data_rack
                for step in ready.values()
                if step.spec.data_rack and _may_wait(step.spec)
            },
            any(_wants_one_rack(step.spec) for step in ready.values()),
            now.boot_ms,
        )

    def awaits_near(
        self,
        step: StepRecord,
        worker: WorkerState,
        tasks_left: int,
        failed_workers: set[str],
    ) -> bool:
        """Return whether the next tasks of a step wait for a near worker.

        If not, one of them starts on the worker, and the others are asked
        again: the last ones to find a near worker start away from it first.

        Parameters
        ----------
        step : StepRecord
            A ready step.
        worker : WorkerState
            Best free worker for its next task.
        tasks_left : int
            Number of its tasks without a worker.
        failed_workers : set of str
            Workers on which tasks of the step failed.
        """
        spec = step.spec
        if self._factor <= 1.0 or not spec.data_rack or not _may_wait(spec):
            return False
        if spec.data_rack in worker.description.labels:
            self._metrics.near_starts.inc(place="near", reason="")
            return False
        rack = worker.description.pool, spec.data_rack
        demand = tasks_left * max(1, spec.processors_millicores)
        wait_ms = math.inf
        if any(
            can_ever_take(near, step) and near.worker_id not in failed_workers
            for near in self._supply.workers_of(rack)
        ):
            wait_ms = self._supply.wait_ms(step, rack, demand)
        return self._waits(step, rack, demand, wait_ms)

    def gang_workers(
        self, step: StepRecord, workers: Sequence[WorkerState]
    ) -> Sequence[WorkerState]:
        """Return the workers for a gang: those of one rack, or all, or none.

        Parameters
        ----------
        step : StepRecord
            A ready step.
        workers : sequence of WorkerState
            Workers of a pool that fit a member.
        """
        spec = step.spec
        if self._factor <= 1.0 or not _wants_one_rack(spec):
            return workers
        racks: dict[str, list[WorkerState]] = {}
        slots: dict[str, int] = {}
        for worker in workers:
            rack = worker.description.rack
            racks.setdefault(rack, []).append(worker)
            slots[rack] = slots.get(rack, 0) + free_slots(worker, step)
        if sum(slots.values()) < spec.count:
            return workers
        # The smallest sufficient rack leaves the others to larger gangs.
        fitting = sorted(
            (rack != spec.data_rack, count, rack)
            for rack, count in slots.items()
            if rack and count >= spec.count
        )
        if fitting:
            self._metrics.near_starts.inc(place="near", reason="")
            return racks[fitting[0][2]]
        pool = workers[0].description.pool
        need = max(1, spec.processors_millicores)
        waits = [(math.inf, "")]
        for rack in self._supply.racks_of(pool):
            near = self._supply.workers_of((pool, rack))
            missing = (spec.count - slots.get(rack, 0)) * need
            if sum(slots_ever(worker, step) for worker in near) >= spec.count:
                wait_ms = self._supply.wait_ms(step, (pool, rack), missing)
                waits.append((wait_ms, rack))
        wait_ms, rack = min(waits)
        missing = (spec.count - slots.get(rack, 0)) * need
        if _may_wait(spec) and self._waits(
            step, (pool, rack), missing, wait_ms
        ):
            return ()
        return workers

    def gang_started(
        self, planned: Sequence[tuple[WorkerState, RunState]]
    ) -> None:
        """Note that the members of a gang on several racks take longer."""
        step = planned[0][1].step
        if step is not None and _wants_one_rack(step.spec):
            racks = {worker.description.rack for worker, _ in planned}
            for _, run in planned:
                if len(racks) > 1:
                    run.slowdown = max(run.slowdown, self._factor)

    def _waits(
        self,
        step: StepRecord,
        rack: RackKey,
        demand: float,
        wait_ms: float,
    ) -> bool:
        """Decide whether tasks wait, and log and count the decision."""
        choice = self._choice(step, rack, wait_ms)
        verdict = decide(choice)
        if verdict is NearVerdict.WAIT:
            self._supply.reserve(rack, demand)
            if step.key not in self._since:
                self._since[step.key] = self._now.boot_ms
                self._metrics.near_waiting_steps.set(len(self._since))
                if self._logs:
                    _log_choice("waits for a near worker", step, rack, choice)
            return True
        self._metrics.near_starts.inc(place="remote", reason=verdict.name)
        # One line for the remote starts of a step in a pass.
        if self._logs and self._logged.get(step.key) != self._now.boot_ms:
            self._logged[step.key] = self._now.boot_ms
            _log_choice(
                "starts on a remote worker", step, rack, choice, verdict.value
            )
        return False

    def _choice(
        self, step: StepRecord, rack: RackKey, wait_ms: float
    ) -> NearChoice:
        spec = step.spec
        now = self._now
        queue = self._machine.current_queue(step.workflow)
        forecast = self._supply.forecast(step)
        run_ms = forecast.median_ms
        # A step ends with its last task. Declared times are off by one factor
        # for all steps of a job, and stragglers lengthen the objective too.
        tasks = len(step.waiting)
        forecast = dataclasses.replace(forecast, straggler_share=0.0)
        last_ms = forecast.last_of_ms(tasks)
        late = forecast.last_of_ms(math.ceil(SURE_TASKS * tasks)) / last_ms
        scale = last_ms / spec.expected_run_ms if spec.expected_run_ms else 1.0
        # The declared path, as `scale` already is what the forecast says.
        path_ms = queue.stretch * step.workflow.critical_path_ms
        objective_ms = queue.latency_objective_ms + scale * path_ms
        later_ms = scale * max(
            0, step.remaining_path_ms - spec.expected_run_ms
        )
        age_ms = now.unix_ms - step.workflow.accepted_unix_ms
        waited_ms = now.boot_ms - self._since.get(step.key, now.boot_ms)
        if now.boot_ms - self._estimates.begun_boot_ms < WAIT_MAX_MS:
            waited_ms = WAIT_MAX_MS
        return NearChoice(
            remote_factor=self._factor,
            run_ms=run_ms,
            waited_ms=waited_ms,
            expected_wait_ms=wait_ms,
            slack_ms=objective_ms
            - age_ms
            - late * (self._factor * last_ms + later_ms),
            is_contended=self._supply.free_share(rack[0])
            < CONTENDED_FREE_SHARE,
        )

    def _end_wait(self, key: StepKey) -> None:
        """Forget the wait of a step without waiting tasks."""
        waited_ms = self._now.boot_ms - self._since.pop(key)
        self._metrics.near_waiting_steps.set(len(self._since))
        if not self._logs:
            return
        _LOG.info(
            "wait for a near worker ended",
            job=key[0],
            occurrence=key[1],
            step=key[2],
            waited_ms=waited_ms,
        )


def _may_wait(spec: StepSpec) -> bool:
    return bool(spec.data_rack or _wants_one_rack(spec)) and not (
        spec.long_running or spec.uses_leftover_processors
    )


def _wants_one_rack(spec: StepSpec) -> bool:
    return spec.gang and spec.same_rack and not spec.uses_leftover_processors


def _log_choice(
    event: str,
    step: StepRecord,
    rack: RackKey,
    choice: NearChoice,
    reason: str = "",
) -> None:
    _LOG.info(
        event,
        job=step.workflow.job_id,
        step=step.position,
        pool=rack[0],
        rack=rack[1],
        tasks=len(step.waiting),
        reason=reason,
        gain_ms=round(choice.gain_ms),
        **{
            name: round(value) if math.isfinite(value) else None
            for name, value in dataclasses.asdict(choice).items()
            if name != "remote_factor"
        },
    )
