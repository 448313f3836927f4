"""Runs that must be stopped, found in the state of the workers."""

from collections.abc import Iterable
from collections.abc import Iterator

from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import WorkflowState
from sardinespool.workflows.table import WorkflowTable

WorkerRun = tuple[WorkerState, RunState]


def runs_of_job(fleet: Fleet, job_id: str) -> list[WorkerRun]:
    """Return all runs of a job."""
    return [
        (worker, run)
        for worker in fleet.workers.values()
        for run in worker.runs_by_job.get(job_id, {}).values()
    ]


def runs_of_ended_jobs(
    fleet: Fleet,
) -> list[tuple[WorkerState, RunState, WorkflowState]]:
    """Return the remaining runs of jobs that have ended, with their state.

    The stop orders of an earlier leader may not have been sent or answered.
    """
    return [
        (worker, run, run.step.workflow.state)
        for worker, run in _all_runs(fleet)
        if run.step is not None and run.step.workflow.is_final
    ]


def runs_of_broken_gangs(
    table: WorkflowTable, fleet: Fleet, ends: Iterable[RunEnd]
) -> list[WorkerRun]:
    """Return the runs of gangs of which a member ended without being done."""
    steps = {
        task.step.key
        for end in ends
        if end.outcome != "done"
        and (task := table.task(end.task)) is not None
        and task.step.spec.gang
    }
    return [
        (worker, run)
        for job_id in {key[0] for key in steps}
        for worker, run in runs_of_job(fleet, job_id)
        if run.step is not None and run.step.key in steps
    ]


def runs_after_done(
    table: WorkflowTable,
    fleet: Fleet,
    planned: Iterable[WorkerRun],
    task_key: str,
    done_run: int,
) -> list[WorkerRun]:
    """Return the runs that followed a run of a task that is done.

    Parameters
    ----------
    planned : iterable of (WorkerState, RunState)
        Runs whose assignments are not committed yet.
    task_key : str
        Name of the task, or of a member of the gang.
    done_run : int
        Number of the run that is done.
    """
    task = table.task(task_key)
    if task is None or task.step.spec.long_running:
        return []
    later_runs = [
        (worker, run)
        for worker, run in planned
        if run.task is task or (task.step.spec.gang and run.step is task.step)
    ]
    if task.step.last_run <= done_run:
        return later_runs
    for member in task.members:
        worker = fleet.workers.get(member.worker_id)
        if worker is not None:
            run = worker.runs.get((member.key, member.run))
            if run is not None and run.run > done_run:
                later_runs.append((worker, run))
    return later_runs


def _all_runs(fleet: Fleet) -> Iterator[WorkerRun]:
    for worker in fleet.workers.values():
        for run in worker.runs.values():
            yield worker, run
