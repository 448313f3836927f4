"""Log lines about runs and jobs, from which failed jobs are explained.

All decisions are made elsewhere; the functions only read the state. Some also
return what they found, for the metrics.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from sardinespool.clock import Instant
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import RunKey
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import RunsRecorded
from sardinespool.observability.logs import get_logger
from sardinespool.workflows import crash_evidence
from sardinespool.workflows.records import TaskRecord
from sardinespool.workflows.records import TaskState
from sardinespool.workflows.records import WorkflowRecord
from sardinespool.workflows.table import WorkflowTable

_LOG = get_logger("dispatch")


def log_leadership(
    fencing_token: int,
    workers: Mapping[str, WorkerState],
    served_before: bool,
) -> None:
    """Log the state that a new leader loaded.

    Parameters
    ----------
    fencing_token : int
        Term of the leader.
    workers : mapping of str to WorkerState
        Loaded workers with their assigned runs.
    served_before : bool
        Whether this member has already served in the same term.
    """
    _LOG.info(
        "dispatch begins",
        token=fencing_token,
        workers=len(workers),
        runs=sum(len(worker.runs) for worker in workers.values()),
        served_before=served_before,
    )


def log_assigned(
    worker: WorkerState, run: RunState, fencing_token: int, now: Instant
) -> None:
    """Log a committed assignment."""
    _LOG.info(
        "assigned",
        task=run.task_key,
        run=run.run,
        worker=worker.worker_id,
        life=worker.description.incarnation,
        token=fencing_token,
        pace=run.target_pace,
        trial=run.trial,
        free_millicores=worker.free_millicores,
        leftover_millicores=worker.leftover_millicores,
        report_age_ms=now.boot_ms - worker.last_answer_boot_ms,
    )


def log_stop(worker: WorkerState, run: RunState, reason: str) -> None:
    """Log the decision to stop a run."""
    _LOG.info(
        "stop",
        task=run.task_key,
        run=run.run,
        worker=worker.worker_id,
        reason=reason,
    )


def log_job_begun(
    workflow: WorkflowRecord, worker: WorkerState, run: RunState, now: Instant
) -> None:
    """Log the first run of a job that a worker is known to have begun."""
    _LOG.info(
        "job begun",
        job=workflow.job_id,
        queue=workflow.queue.name,
        task=run.task_key,
        run=run.run,
        worker=worker.worker_id,
        age_ms=now.unix_ms - workflow.accepted_unix_ms,
        **_workspace_field(workflow),
    )


def log_run_ended(
    table: WorkflowTable,
    worker: WorkerState,
    run: RunState,
    outcome: RunOutcome,
    reason: str,
    listed_number: int,
) -> None:
    """Log the end of a run that is about to be committed.

    Parameters
    ----------
    table : WorkflowTable
        Replicated state, which shows whether the end is repeated.
    worker : WorkerState
        Worker of the run.
    run : RunState
        The run.
    outcome : RunOutcome
        Its outcome.
    reason : str
        Why the leader ends it.
    listed_number : int
        Number under which the worker lists the end; 0 if it does not.
    """
    repeated = has_recorded_end(table, run.key)
    # Lines of a level are limited together; the many ends of other runs must
    # not displace those that explain a failed job.
    log = _LOG.warning if outcome == "failed" or repeated else _LOG.info
    log(
        "run ended",
        task=run.task_key,
        run=run.run,
        worker=worker.worker_id,
        life=worker.description.incarnation,
        outcome=outcome,
        reason=reason,
        number=listed_number,
        repeated=repeated,
        percent=run.percent,
        pace=run.pace,
    )


def has_recorded_end(table: WorkflowTable, key: RunKey) -> bool:
    """Return whether the replicated state contains the end of a run."""
    task_key, run = key
    task = table.task(task_key)
    if task is None or run > task.run:
        return False
    return run < task.run or task.state is not TaskState.ASSIGNED


def log_job_ended(
    machine: ControlMachine,
    workflow: WorkflowRecord,
    ends: tuple[RunEnd, ...],
    age_ms: int,
) -> bool:
    """Log the end of a job, with the run that decided it if it failed.

    Returns
    -------
    bool
        Whether the job failed by a crash.
    """
    fields: dict[str, object] = dict(_workspace_field(workflow))
    failing_crash = find_failing_crash(machine.table, workflow, ends)
    if failing_crash is not None:
        task, end = failing_crash
        fields.update(
            task=end.task,
            run=end.run,
            crashes=crash_evidence.crash_count(task),
            crash=end.crash,
            trial=end.run == task.trial_run,
            gang=task.step.spec.gang,
        )
    elif workflow.state == "failed":
        limit = machine.failures_max(workflow)
        fields["failures_max"] = limit
        decisive = _find_decisive_end(machine.table, workflow, ends, limit)
        if decisive is not None:
            task, end = decisive
            fields.update(
                task=end.task,
                run=end.run,
                failures=_failure_count(task),
                gang=task.step.spec.gang,
            )
    _LOG.info(
        "job ended",
        job=workflow.job_id,
        queue=workflow.queue.name,
        state=workflow.state,
        age_ms=age_ms,
        **fields,
    )
    return failing_crash is not None


def log_unknown_result(
    command: RecordRuns, result: RunsRecorded, has_proposed: bool
) -> None:
    """Log the result of a planning command of an earlier leadership.

    Parameters
    ----------
    command : RecordRuns
        The applied command.
    result : RunsRecorded
        Its result.
    has_proposed : bool
        Whether another command of the dispatcher is not applied yet.
    """
    _LOG.warning(
        "result of an unknown planning command",
        ends=len(command.ends),
        failed_ends=sum(end.outcome == "failed" for end in command.ends),
        assignments=len(command.assignments),
        refused=len(result.refused),
        ended_jobs=len(result.ended_jobs),
        job=result.ended_jobs[0] if result.ended_jobs else "",
        has_proposed=has_proposed,
    )


def log_untracked_runs(
    table: WorkflowTable,
    workers: Mapping[str, WorkerState],
    ending: Collection[RunKey],
) -> None:
    """Log how many assigned runs no worker state contains.

    Such a run is never ordered or ended.

    Parameters
    ----------
    table : WorkflowTable
        Replicated state.
    workers : mapping of str to WorkerState
        Workers known to this leader.
    ending : collection of RunKey
        Runs whose ends are not committed yet; the state of a worker that was
        replaced or dropped no longer contains them.
    """
    count = 0
    example: TaskRecord | None = None
    for worker_id, tasks in table.assigned.items():
        worker = workers.get(worker_id)
        runs = worker.runs if worker is not None else {}
        for key, task in tasks.items():
            run_key = (key, task.run)
            if run_key not in runs and run_key not in ending:
                count += 1
                example = example or task
    if example is not None:
        _LOG.warning(
            "assigned runs are not tracked",
            count=count,
            task=example.key,
            run=example.run,
            worker=example.worker_id,
            known_worker=example.worker_id in workers,
        )


def log_silent_workers(workers: Iterable[WorkerState], now: Instant) -> int:
    """Log the workers that don't answer while runs are assigned to them.

    The runs end once the lease of their worker has certainly ended.

    Parameters
    ----------
    workers : iterable of WorkerState
        Workers known to this leader.
    now : Instant
        Current time.

    Returns
    -------
    int
        Number of runs on workers that don't answer.
    """
    silent = [
        worker for worker in workers if worker.runs and not worker.answered
    ]
    count = sum(len(worker.runs) for worker in silent)
    if silent:
        longest = min(silent, key=lambda worker: worker.last_answer_boot_ms)
        _LOG.warning(
            "runs on silent workers",
            workers=len(silent),
            runs=count,
            worker=longest.worker_id,
            task=next(iter(longest.runs.values())).task_key,
            answer_age_ms=(
                now.boot_ms - longest.last_answer_boot_ms
                if longest.last_answer_boot_ms >= 0
                else None
            ),
            lease_left_ms=(
                longest.lease_end_ms - longest.clock.lower_bound(now.boot_ms)
                if longest.lease_end_ms
                else None
            ),
        )
    return count


def _workspace_field(workflow: WorkflowRecord) -> dict[str, str]:
    return {"workspace": workflow.workspace} if workflow.workspace else {}


def find_failing_crash(
    table: WorkflowTable, workflow: WorkflowRecord, ends: tuple[RunEnd, ...]
) -> tuple[TaskRecord, RunEnd] | None:
    """Return the task and run end whose crash made an ended job fail."""
    if workflow.state != "failed":
        return None
    for end in ends:
        task = table.task(end.task)
        if (
            task is not None
            and task.step.workflow is workflow
            and crash_evidence.exceeds_crash_limit(task, end)
        ):
            return task, end
    return None


def _find_decisive_end(
    table: WorkflowTable,
    workflow: WorkflowRecord,
    ends: tuple[RunEnd, ...],
    limit: int,
) -> tuple[TaskRecord, RunEnd] | None:
    for end in ends:
        task = table.task(end.task)
        if (
            end.outcome == "failed"
            and task is not None
            and task.step.workflow is workflow
            and _failure_count(task) >= limit
        ):
            return task, end
    return None


def _failure_count(task: TaskRecord) -> int:
    """Return the failed runs counted for the task, or for its gang."""
    if task.step.spec.gang:
        return sum(member.failures for member in task.step.tasks)
    return task.failures
