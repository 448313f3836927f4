"""Evidence that a task crashes the workers that start it.

All functions depend on the replicated state only, so that each member of a
group decides alike.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from sardinespool.messages.workflows import RunEnd
from sardinespool.workflows.records import TaskRecord
from sardinespool.workflows.records import TaskState

CRASHES_BEFORE_TRIAL_MAX = 1
"""Crashes up to which a task that is no prime suspect starts without a trial,
as workers also crash for other reasons."""
CRASHES_WITH_TRIAL_MIN = 3
"""Crashes from which a failed trial makes the job fail. Two may have other
causes: a task beside it, then a crash of the trial's worker by itself."""
CRASHES_MAX = 4
"""Crashes at which the job fails without a failed trial."""
CLEARING_AGE_MS = 60_000
"""Age at which a run of a long-running task clears its earlier crashes. Such
tasks run until they are cancelled, and workers crash under them by themselves
again and again."""


def crash_count(task: TaskRecord) -> int:
    """Return how many runs of a task, or of its gang, crashed workers."""
    return sum(len(member.crashed_runs) for member in task.members)


def add_crashed_run(task: TaskRecord, end: RunEnd) -> bool:
    """Record a crashed run; return whether it was not recorded before.

    A run belongs to one worker incarnation, so it counts once however often
    and in which way the crash is seen. One run of a gang counts once, however
    many workers crash under its members.
    """
    if task.step.spec.gang:
        if (
            end.run in task.step.gang_crashed_runs
            or end.run <= task.step.gang_cleared_run
        ):
            return False
        task.step.gang_crashed_runs.add(end.run)
    elif end.run in task.crashed_runs or end.run <= task.cleared_run:
        return False
    task.crashed_runs |= {end.run}
    task.crash_age_ms = max(task.crash_age_ms, end.lived_ms)
    return True


def crash_age_ms(task: TaskRecord) -> int:
    """Return the greatest age of a run of a task, or its gang, at a crash."""
    return max(member.crash_age_ms for member in task.members)


def is_clearing(task: TaskRecord, end: RunEnd) -> bool:
    """Return whether a run has lived so long that its task is healthy."""
    return task.step.spec.long_running and end.lived_ms >= CLEARING_AGE_MS


def clear_crashes(task: TaskRecord, run: int) -> bool:
    """Drop the evidence of the runs up to one, also if recorded again.

    Returns
    -------
    bool
        Whether that was not done before.
    """
    if task.step.spec.gang:
        if run <= task.step.gang_cleared_run:
            return False
        task.step.gang_cleared_run = run
        task.step.gang_crashed_runs = {
            crashed for crashed in task.step.gang_crashed_runs if crashed > run
        }
    elif run <= task.cleared_run:
        return False
    for member in task.members:
        if run <= member.cleared_run:
            continue
        member.cleared_run = run
        member.crashed_runs = frozenset(
            crashed for crashed in member.crashed_runs if crashed > run
        )
        if not member.crashed_runs:
            member.crash_age_ms = 0
            member.suspected_crash = ""
    return True


def is_failed_trial(task: TaskRecord, end: RunEnd) -> bool:
    """Return whether the task of a trial is the only suspect of a crash."""
    return bool(end.crash) and end.suspect and end.run == task.trial_run


def exceeds_crash_limit(task: TaskRecord, end: RunEnd) -> bool:
    """Return whether the job of a task fails because of a recorded crash."""
    count = crash_count(task)
    return bool(end.crash) and (
        count >= CRASHES_MAX
        or (is_failed_trial(task, end) and count >= CRASHES_WITH_TRIAL_MIN)
    )


def needs_trial(task: TaskRecord) -> bool:
    """Return whether the next run of a task must be a trial."""
    return (
        task.state is not TaskState.DONE
        and not task.step.workflow.is_final
        and _has_evidence(task)
    )


def _has_evidence(task: TaskRecord) -> bool:
    """Return whether a task, or a member of its gang, is suspected."""
    return (
        any(member.suspected_crash for member in task.members)
        or crash_count(task) > CRASHES_BEFORE_TRIAL_MAX
    )


def update_suspects(
    suspects: dict[str, TaskRecord], tasks: Iterable[TaskRecord]
) -> None:
    """Add or remove tasks in the index of those that need a trial, by name."""
    # The evidence is that of the whole gang, which may have many members.
    gangs: dict[int, bool] = {}
    for task in tasks:
        if not task.step.spec.gang:
            has_evidence = _has_evidence(task)
        elif (known := gangs.get(id(task.step))) is not None:
            has_evidence = known
        else:
            has_evidence = gangs[id(task.step)] = _has_evidence(task)
        if (
            has_evidence
            and task.state is not TaskState.DONE
            and not task.step.workflow.is_final
        ):
            suspects[task.key] = task
        else:
            suspects.pop(task.key, None)


def restore_suspects(
    suspects: dict[str, TaskRecord], tasks: Sequence[TaskRecord]
) -> None:
    """Add the tasks of a step that was loaded to the index."""
    if any(task.crashed_runs or task.suspected_crash for task in tasks):
        update_suspects(suspects, tasks)


def clear_other_suspects(
    suspects: dict[str, TaskRecord], culprit: TaskRecord
) -> None:
    """Clear the other suspects of earlier crashes of a culprit."""
    crashes = {member.suspected_crash for member in culprit.members}
    for task in list(suspects.values()):
        if task.suspected_crash in crashes - {""}:
            task.suspected_crash = ""
            update_suspects(suspects, task.members)


def record_crash(
    suspects: dict[str, TaskRecord], task: TaskRecord, end: RunEnd
) -> bool:
    """Record the crash of an end, if any; return whether the job fails by it.

    Parameters
    ----------
    suspects : dict of str to TaskRecord
        Index of the tasks that need a trial, which is updated.
    task : TaskRecord
        Task of the run.
    end : RunEnd
        End of the run.
    """
    if is_clearing(task, end):
        if clear_crashes(task, end.run):
            update_suspects(suspects, task.members)
        return False
    if not end.crash or not add_crashed_run(task, end):
        return False
    if is_failed_trial(task, end):
        clear_other_suspects(suspects, task)
    if end.suspect:
        task.suspected_crash = end.crash
    update_suspects(suspects, task.members)
    return exceeds_crash_limit(task, end)
