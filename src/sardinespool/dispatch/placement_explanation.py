"""Explains where the tasks of a job would start now, without effects.

A planning pass runs on copies of the workers and of the index of ready steps.
Other ready steps take part in it, so that the job competes as it would.
"""

import collections
import copy
import itertools

from sardinespool.clock import Instant
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.placer import has_finite_run
from sardinespool.dispatch.placer import Placer
from sardinespool.dispatch.placer import tasks_of_step
from sardinespool.dispatch.planner import Planner
from sardinespool.dispatch.planner import READY_STEPS_MAX
from sardinespool.dispatch.start_limits import StartLimits
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import WorkflowRecord

EXPLAINED_STEPS_MAX = 100
"""Steps that are explained; each costs a look at all workers."""


def explain_placement(
    command: AcceptWorkflow,
    machine: ControlMachine,
    fleet: Fleet,
    planner: Planner,
    metrics: DispatchMetrics,
    now: Instant,
) -> dict[str, object]:
    """Return where the tasks of a job that is not stored would start.

    Each of the first `EXPLAINED_STEPS_MAX` steps has the number of starts by
    worker, why its other tasks wait, and the number of workers that could take
    none of its tasks before the pass, and no further one after it, by reason.

    Parameters
    ----------
    command : AcceptWorkflow
        Command that would store the job.
    machine, fleet, planner : ControlMachine, Fleet, Planner
        State of the leader; not changed.
    metrics : DispatchMetrics
        Metrics that are not published.
    now : Instant
        Current time.
    """
    queue = machine.manifest.queue_named(command.queue)
    assert queue is not None, command.queue
    workflow = WorkflowRecord(
        command.job_id, queue, command.spec, now.unix_ms, command.workspace
    )
    workspace = machine.manifest.workspaces_by_name.get(command.workspace)
    if workspace is not None:
        workflow.in_excess = copy.deepcopy(machine.table.quotas).exceeds(
            workspace.name, workspace.weight, now.unix_ms
        )
    due_unix_ms = workflow.next_due_unix_ms or 0
    result: dict[str, object] = {
        "job": workflow.job_id,
        "queue": queue.name,
        "pool": queue.pool,
        "workspace": workflow.workspace,
        "other_ready_steps": len(machine.table.ready),
    }
    if due_unix_ms > now.unix_ms:
        return result | {"first_due_unix_ms": due_unix_ms, "steps": []}
    steps = workflow.open_occurrence(0)[:EXPLAINED_STEPS_MAX]
    ready = {step.key: step for step in steps if step.is_ready}
    machine = copy.copy(machine)
    machine.table = copy.copy(machine.table)
    others = itertools.islice(
        machine.table.ready.items(), READY_STEPS_MAX - len(ready)
    )
    machine.table.ready = dict(others) | ready
    fleet = _copy_fleet(fleet, machine)
    planner = planner.copy(machine, fleet, metrics)
    for step in ready.values():
        planner.order.skip_batch_window(step, now)
    workers = [
        worker
        for worker in fleet.workers.values()
        if worker.description.pool == queue.pool
    ]
    excluded = {
        key: _exclusions(step, workers, fleet, planner, now)
        for key, step in ready.items()
    }
    _, planned = planner.assign(now)
    explained = []
    starts_of: dict[int, collections.Counter[str]] = {}
    for worker, run in planned:
        starts_of.setdefault(id(run.step), collections.Counter())[
            worker.worker_id
        ] += 1
    for step in steps:
        starts = starts_of.get(id(step), collections.Counter())
        waiting = step.spec.count - starts.total()
        explained.append(
            {
                "step": step.position,
                "tasks": step.spec.count,
                "starts": dict(sorted(starts.items())),
                "waiting": waiting,
                "reason": _reason(step, workers, fleet, planner, now)
                if waiting
                else "",
                "excluded_workers": excluded.get(step.key, {}),
                "excluded_after_pass": _exclusions(
                    step, workers, fleet, planner, now
                )
                if waiting and step.is_ready
                else {},
            }
        )
    result |= {"workers": len(workers), "steps": explained}
    left_out = len(workflow.spec.steps) - len(steps)
    return result | ({"steps_left_out": left_out} if left_out else {})


def _copy_fleet(fleet: Fleet, machine: ControlMachine) -> Fleet:
    result = copy.copy(fleet)
    result.workers = {}
    result.limits = StartLimits(machine, result.workers)
    result.limits.usage = copy.deepcopy(fleet.limits.usage)
    for worker_id, worker in fleet.workers.items():
        result.workers[worker_id] = worker.copy(result.limits.usage)
    return result


def _reason(
    step: StepRecord,
    workers: list[WorkerState],
    fleet: Fleet,
    planner: Planner,
    now: Instant,
) -> str:
    """Return why tasks of a step without a worker wait, after the pass."""
    if not step.is_ready:
        return "earlier steps must complete first"
    if not workers:
        return "the pool has no worker"
    if not fleet.limits.may_start(step):
        return "limit of the workspace"
    if planner.near.is_waiting(step):
        return "waits for a worker near its data"
    if all(_obstacle(worker, fleet, now) for worker in workers):
        return "no worker accepts starts"
    excluded = _exclusions(step, workers, fleet, planner, now)
    if sum(excluded.values()) == len(workers):
        return "no worker is free and suitable"
    if step.spec.gang:
        return "too few workers for the whole gang"
    if step.spec.long_running:
        return "the last free slot is kept for short tasks"
    return "other steps come first"


def _exclusions(
    step: StepRecord,
    workers: list[WorkerState],
    fleet: Fleet,
    planner: Planner,
    now: Instant,
) -> dict[str, int]:
    """Return the number of workers that take no task of a step, by reason."""
    free, placer = planner.placer_of(
        workers[0].description.pool if workers else "",
        [worker for worker in workers if not _obstacle(worker, fleet, now)],
    )
    free_ids = {worker.worker_id for worker in free}
    reasons: collections.Counter[str] = collections.Counter()
    for worker in workers:
        reason = _obstacle(worker, fleet, now)
        if not reason and worker.worker_id not in free_ids:
            reason = "kept for trials of suspected tasks"
        reasons[reason or _mismatch(step, worker, placer)] += 1
    return {reason: reasons[reason] for reason in sorted(reasons) if reason}


def _obstacle(worker: WorkerState, fleet: Fleet, now: Instant) -> str:
    """Return why a worker accepts no starts, "" if it does."""
    if fleet.accepts_starts(worker, now):
        return ""
    if fleet.accepts_starts_as_last_resort(worker, now):
        return "set aside after failures"
    if not worker.answered:
        return "worker does not answer"
    if reason := fleet.start_obstacle(worker, now):
        return reason
    if now.boot_ms < worker.avoid_until_boot_ms:
        return "worker refused a start"
    if not worker.reconciled or not worker.clock.known:
        return "runs of the worker not known yet"
    if not fleet.has_recent_report(worker, now):
        return "no recent heartbeat"
    return "spare pool"


def _mismatch(step: StepRecord, worker: WorkerState, placer: Placer) -> str:
    """Return why a worker that accepts starts takes no task, or ""."""
    if placer.score_worker(step, worker, False, set()) is not None:
        return ""
    spec = step.spec
    labels = worker.description.labels
    if spec.required_label and spec.required_label not in labels:
        return "lacks the required label"
    capacity = worker.description
    if (
        spec.processors_millicores > capacity.processors_millicores
        or spec.memory_mb > capacity.memory_mb
        or spec.accelerators > capacity.accelerators
    ):
        return "task is larger than the worker"
    if spec.memory_mb > worker.free_memory_mb:
        return "too little free memory"
    if spec.accelerators > worker.free_accelerators:
        return "too few free accelerators"
    if not worker.fits(spec):
        return "too few free processors"
    if worker.on_probation and has_finite_run(worker):
        return "on probation with a run"
    tasks_max = spec.tasks_per_worker_max
    if tasks_max and tasks_of_step(worker, step) >= tasks_max:
        return "has the most tasks of the step"
    return "best-effort task would be too slow or interfere"
