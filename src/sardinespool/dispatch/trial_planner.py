"""Placement of trials: runs of tasks that are suspected of a crash."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from sardinespool.clock import Instant
from sardinespool.dispatch import crash_trials
from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.best_effort import STARVED_PACE
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.near_waits import NearWaits
from sardinespool.dispatch.placer import Placer
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.workflows import crash_evidence
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import TaskRecord

WorkersByPool = Mapping[str, Sequence[WorkerState]]


@dataclasses.dataclass(frozen=True, slots=True)
class _TrialRisk:
    """What a trial on a worker puts at risk, beside trials of its own gang.

    Determined once for a gang, as its members are no risk to each other.
    """

    is_isolated: bool
    admits_trial: bool
    has_young_runs: bool
    millicores: int

    @classmethod
    def of(cls, worker: WorkerState, task: TaskRecord) -> "_TrialRisk":
        return cls(
            crash_trials.has_only_trials(worker)
            and not crash_trials.is_held(worker),
            not worker.trials or crash_trials.admits_trial(worker, task),
            *crash_trials.trial_risk(worker),
        )


class TrialPlanner:
    """Places the suspects of crashes before all other tasks of a pass.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state with the suspects.
    fleet : Fleet
        Workers with their trials.
    best_effort : BestEffortScorer
        Scores workers for best-effort suspects.

    Attributes
    ----------
    suspects : set of str
        Tasks that may start only as trials, by name.
    """

    def __init__(
        self,
        machine: ControlMachine,
        fleet: Fleet,
        best_effort: BestEffortScorer,
    ) -> None:
        self._machine = machine
        self._fleet = fleet
        self._best_effort = best_effort
        self._waiting_since: dict[str, int] = {}
        self._reserving_pools: set[str] = set()
        self.suspects: set[str] = set()

    def copy(
        self,
        machine: ControlMachine,
        fleet: Fleet,
        best_effort: BestEffortScorer,
    ) -> "TrialPlanner":
        """Return a copy that plans on other workers."""
        planner = TrialPlanner(machine, fleet, best_effort)
        planner._waiting_since.update(self._waiting_since)
        return planner

    def reset(self) -> None:
        """Clear the state of earlier passes."""
        self._waiting_since.clear()
        self._reserving_pools.clear()
        self.suspects.clear()

    def place(
        self,
        candidates: WorkersByPool,
        set_aside: WorkersByPool,
        now: Instant,
    ) -> list[tuple[WorkerState, RunState]]:
        """Place waiting suspects and reserve resources for them.

        Parameters
        ----------
        candidates, set_aside : mapping of str to sequence of WorkerState
            Workers that accept starts, and those that do so as a last
            resort, by pool.
        """
        self._reserving_pools.clear()
        self.suspects.clear()
        if not self._machine.table.suspects:
            self._waiting_since.clear()
            return []
        units = self._waiting_units()
        self._waiting_since = {
            key: self._waiting_since.get(key, now.boot_ms) for key in units
        }
        planned: list[tuple[WorkerState, RunState]] = []
        for key, tasks in units.items():
            step = tasks[0].step
            pool = self._machine.current_queue(step.workflow).pool
            waited_ms = now.boot_ms - self._waiting_since[key]
            is_overdue = waited_ms >= crash_trials.trial_wait_ms(tasks[0])
            workers = list(candidates.get(pool, ()))
            if is_overdue and step.spec.long_running:
                workers += set_aside.get(pool, ())
            runs = self._place_unit(tasks, workers, is_overdue, now)
            if not runs and not is_overdue:
                self._reserving_pools.add(pool)
            planned += runs
        return planned

    def workers_for_other_tasks(
        self, pool: str, workers: Iterable[WorkerState]
    ) -> list[WorkerState]:
        """Return the workers on which other tasks may start.

        While suspects wait, workers without other runs than trials are
        reserved for them: a crash there ends no other run.
        """
        reserves_workers = pool in self._reserving_pools
        return [
            worker
            for worker in workers
            if not worker.trials
            or not (
                crash_trials.open_trials(worker)
                or (reserves_workers and crash_trials.has_only_trials(worker))
            )
        ]

    def placer_of_other_tasks(
        self,
        pool: str,
        candidates: Sequence[WorkerState],
        set_aside: Sequence[WorkerState],
        near: NearWaits | None = None,
    ) -> Placer:
        """Return the placer of a pool for tasks that are no suspects.

        Workers that late trials hold are a last resort.
        """
        free, held = crash_trials.split_held(candidates)
        return Placer(
            self.workers_for_other_tasks(pool, free),
            self._best_effort,
            self.workers_for_other_tasks(pool, set_aside),
            near,
            self.workers_for_other_tasks(pool, held),
        )

    def has_other_waiting(self, step: StepRecord) -> bool:
        """Return whether a task that is no suspect waits in a step."""
        return any(
            step.tasks[index].key not in self.suspects
            for index in step.waiting
        )

    def _waiting_units(self) -> dict[str, Sequence[TaskRecord]]:
        """Return the waiting suspects, gangs whole, most crashes first."""
        table = self._machine.table
        explained = crash_trials.crashes_explained_by_trials(
            self._fleet.workers.values()
        )
        waiting: dict[str, Sequence[TaskRecord]] = {}
        # The evidence is that of the whole gang, which may have many members.
        cleared: dict[str, bool] = {}
        for task in table.suspects.values():
            unit = crash_trials.unit_key(task)
            if unit not in cleared:
                cleared[unit] = crash_trials.is_cleared(task, explained)
            if cleared[unit]:
                continue
            self.suspects.add(task.key)
            if task.step.key in table.ready and (
                task.index in task.step.waiting
            ):
                waiting[unit] = task.members
        return dict(
            sorted(
                waiting.items(),
                key=lambda item: -crash_evidence.crash_count(item[1][0]),
            )
        )

    def _place_unit(
        self,
        tasks: Sequence[TaskRecord],
        workers: list[WorkerState],
        is_overdue: bool,
        now: Instant,
    ) -> list[tuple[WorkerState, RunState]]:
        """Place a suspect, or all members of a suspected gang or none."""
        number = max(task.run for task in tasks) + 1
        planned: list[tuple[WorkerState, RunState]] = []
        if not self._fleet.limits.may_start(tasks[0].step):
            return []
        risks = {
            worker.worker_id: _TrialRisk.of(worker, tasks[0])
            for worker in workers
        }
        for task in tasks:
            worker = self._choose_worker(task, workers, risks, is_overdue)
            if worker is None:
                for other, run in planned:
                    other.remove_run(run)
                return []
            run = RunState(
                task.key, number, task, RunPhase.ORDERED, now.boot_ms
            )
            run.committed = False
            run.trial = True
            if task.step.spec.uses_leftover_processors:
                if worker.serving_images:
                    run.target_pace = STARVED_PACE
                self._best_effort.record_start(task.step.spec, worker)
            worker.add_run(run)
            planned.append((worker, run))
        return planned

    def _choose_worker(
        self,
        task: TaskRecord,
        workers: list[WorkerState],
        risks: Mapping[str, "_TrialRisk"],
        is_overdue: bool,
    ) -> WorkerState | None:
        """Return the best worker for a trial, if possible an isolated one.

        Of equal workers, one whose host crashed under the task comes last, as
        the host may be the cause itself.
        """
        placer = Placer((), self._best_effort)
        hosts = self._fleet.crashes.history.hosts_of(
            crash_trials.unit_key(task)
        )
        has_other_hosts = any(
            crash_trials.host_of(worker) not in hosts for worker in workers
        )
        best: (
            tuple[tuple[bool, bool, bool, int, float], WorkerState] | None
        ) = None
        for worker in workers:
            is_repeated = crash_trials.host_of(worker) in hosts
            if is_repeated and has_other_hosts and not is_overdue:
                continue
            risk = risks[worker.worker_id]
            if not (risk.is_isolated or is_overdue) or not risk.admits_trial:
                continue
            score = placer.score_worker(
                task.step,
                worker,
                starved=is_overdue,
                failed_workers=set(),
                overdue=is_overdue and task.step.spec.long_running,
            )
            if score is None:
                continue
            rank = (
                (False, is_repeated, False, 0, -score)
                if risk.is_isolated
                else (
                    True,
                    is_repeated,
                    risk.has_young_runs,
                    risk.millicores,
                    -score,
                )
            )
            if best is None or rank < best[0]:
                best = rank, worker
        return None if best is None else best[1]
