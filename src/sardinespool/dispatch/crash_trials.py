"""Decisions about tasks that crash the workers that start them.

A crash ends all runs of the worker, and each of the recent ones may be its
cause. These suspects therefore start again in trials: nothing else starts on
the worker of a trial until the trial has run for `TRIAL_MS`. A task may also
crash its workers long after its start; its trials are late ones, which keep
other tasks off until they have lived longer than the runs that crashed. The
functions decide which ends of workers are crashes, which runs are suspects,
and which workers may take a trial; they do no I/O.
"""

import enum
from collections.abc import Iterable
from collections.abc import Sequence

from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.workflows import crash_evidence
from sardinespool.workflows.records import TaskRecord

TRIAL_MS = 500
"""Age from which a run is no prime suspect, and a trial has passed."""
LATE_TRIAL_MARGIN_MS = 1_500
"""Time that a late trial lasts beyond 1.25 times the greatest age at a crash:
the known age ends with the last answer, up to 1 s before the crash."""
LATE_TRIAL_MAX_MS = 15_000
"""Limit of a late trial. A task that crashes its workers later than that is
not isolated, as a worker would be held for too long."""
HELD_WORKERS_RATIO = 4
"""Late trials hold at most one worker in so many, as a crash of many workers
makes suspects of many healthy tasks."""
TRIAL_WAIT_MS = 2_000
"""Wait after which a suspect may start beside other runs. A job with nothing
running counts as lost after 3 s beside free capacity."""
LONG_RUNNING_TRIAL_WAIT_MS = 500
"""The same for a long-running task, which counts as missing 6 s after its last
run; the lease of its earlier worker may take 4.5 s of them to end."""
LONG_RUNNING_RISK_WEIGHT = 10
"""Weight of the processors of a long-running task in the risk of a trial: its
callers miss it at once, and it has no checkpoint."""


class Loss(enum.Enum):
    """How the end of a worker's process was found out."""

    RESTARTED = "worker restarted"
    HOST_REUSED = "another worker runs on its host"
    ADDRESS_REUSED = "another worker uses its address"
    LEASE_EXPIRED = "lease of an unresponsive worker expired"
    LEFT = "worker left"


def is_crash(worker: WorkerState, loss: Loss, in_outage: bool) -> bool:
    """Return whether a worker crashed, rather than left or lost its power.

    Parameters
    ----------
    worker : WorkerState
        The worker whose runs are about to be ended.
    loss : Loss
        What the leader knows of its end.
    in_outage : bool
        Whether other workers of its failure domain went silent with it.
    """
    if worker.description.draining or loss is Loss.LEFT:
        return False
    if worker.connection_closed:
        return True
    # A worker that is cut off or without power doesn't answer at all. Only
    # one that has started again since has certainly ended.
    return loss is not Loss.LEASE_EXPIRED and not in_outage


def crash_key(worker: WorkerState) -> str:
    """Return the name of a worker incarnation in the evidence."""
    return f"{worker.worker_id}#{worker.description.incarnation}"


def host_of(worker: WorkerState) -> str:
    """Return the host of a worker; its id if it reports none."""
    return worker.description.host or worker.worker_id


def observed_age_ms(worker: WorkerState, run: RunState) -> int:
    """Return how long a run is known to have run, on the worker's clock."""
    if run.first_seen_clock_ms is None:
        return 0
    return worker.last_seen_clock_ms - run.first_seen_clock_ms


def suspects_of_crash(worker: WorkerState) -> list[tuple[RunState, bool]]:
    """Return the runs that count for a crash, and which are prime suspects.

    Runs of any age count, but those of long-running tasks are weighed later,
    see `crash_history`. Beside a trial only prime suspects and late trials
    count, not the older runs. A trial is inconclusive if it isn't the only
    prime suspect, or if the worker went silent, as it may have been gone
    before the start: the run counts, and its task gets another trial.
    """
    runs = [
        run for run in worker.runs.values() if may_have_started(worker, run)
    ]
    prime = [run for run in runs if observed_age_ms(worker, run) < TRIAL_MS]
    is_ambiguous = (
        not worker.connection_closed
        or len({unit_key(run.task) for run in prime if run.task}) > 1
    )
    if any(run.trial for run in prime):
        counted = [
            run for run in runs if run in prime or is_late_trial(worker, run)
        ]
    else:
        counted = runs
    return [
        (run, run in prime and not (run.trial and is_ambiguous))
        for run in counted
    ]


def may_have_started(worker: WorkerState, run: RunState) -> bool:
    """Return whether a run may have started on a worker that is gone.

    Its start may have arrived, if no call has failed unsent since.
    """
    return (
        run.committed
        and run.task is not None
        and run.phase is not RunPhase.ENDED
        and (
            run.phase is RunPhase.RUNNING
            or run.unanswered > 0
            or (run.in_flight and not worker.connection_closed)
        )
    )


def unit_key(task: TaskRecord) -> str:
    """Return the name of a task, or of the first member of its gang."""
    return task.members[0].key


def open_trials(worker: WorkerState) -> list[RunState]:
    """Return the trials on a worker that have not passed yet."""
    return [
        run
        for run in worker.trials.values()
        if run.phase is not RunPhase.ENDED
        and observed_age_ms(worker, run) < TRIAL_MS
    ]


def late_trial_ms(task: TaskRecord) -> int:
    """Return the age until which a trial of a task keeps others off."""
    crash_age_ms = crash_evidence.crash_age_ms(task)
    if crash_age_ms < TRIAL_MS:
        return TRIAL_MS
    trial_ms = crash_age_ms + crash_age_ms // 4 + LATE_TRIAL_MARGIN_MS
    return trial_ms if trial_ms <= LATE_TRIAL_MAX_MS else TRIAL_MS


def is_late_trial(worker: WorkerState, run: RunState) -> bool:
    """Return whether a trial has lived for `TRIAL_MS`, but is still open."""
    return (
        run.trial
        and run.task is not None
        and run.phase is not RunPhase.ENDED
        and TRIAL_MS <= observed_age_ms(worker, run) < late_trial_ms(run.task)
    )


def is_held(worker: WorkerState) -> bool:
    """Return whether a worker is kept free for a late trial."""
    return any(is_late_trial(worker, run) for run in worker.trials.values())


def split_held(
    workers: Sequence[WorkerState],
) -> tuple[list[WorkerState], list[WorkerState]]:
    """Return the workers that late trials leave free, and those they hold."""
    held = [worker for worker in workers if is_held(worker)]
    del held[len(workers) // HELD_WORKERS_RATIO :]
    held_ids = {worker.worker_id for worker in held}
    return [
        worker for worker in workers if worker.worker_id not in held_ids
    ], held


def evidence_age_ms(worker: WorkerState, run: RunState) -> int:
    """Return the age of an ended run to record, or 0 if it is no evidence.

    Besides the ages at crashes, those of long-running tasks with crashes
    count, since a long life clears them.
    """
    if run.crash:
        return run.crash_age_ms
    task = run.task
    if task is None or not task.step.spec.long_running:
        return 0
    has_crashes = crash_evidence.crash_count(task) > 0
    return observed_age_ms(worker, run) if has_crashes else 0


def ms_until_trials_end(worker: WorkerState) -> int | None:
    """Return the time until the youngest open trial has passed."""
    trials = open_trials(worker)
    if not trials:
        return None
    return TRIAL_MS - min(observed_age_ms(worker, run) for run in trials)


def trial_wait_ms(task: TaskRecord) -> int:
    """Return how long a suspect waits for a worker without other runs."""
    if task.step.spec.long_running:
        return LONG_RUNNING_TRIAL_WAIT_MS
    return TRIAL_WAIT_MS


def admits_trial(worker: WorkerState, task: TaskRecord) -> bool:
    """Return whether all open trials on a worker are of the task's gang."""
    return all(
        run.step is task.step and task.step.spec.gang
        for run in open_trials(worker)
    )


def has_only_trials(worker: WorkerState) -> bool:
    """Return whether each run on a worker, if any, is a trial."""
    return len(worker.trials) == len(worker.runs)


def trial_risk(worker: WorkerState) -> tuple[bool, int]:
    """Return what a trial on a worker puts at risk, as a sort key.

    First whether a run there is so young that it would be a prime suspect of
    the crash too, then the weighted processors of the runs.
    """
    has_young_runs = any(
        observed_age_ms(worker, run) < TRIAL_MS for run in worker.runs.values()
    )
    millicores = 0
    for run in worker.runs.values():
        if run.step is not None:
            weight = (
                LONG_RUNNING_RISK_WEIGHT if run.step.spec.long_running else 1
            )
            millicores += weight * run.step.spec.processors_millicores
    return has_young_runs, millicores


def crashes_explained_by_trials(workers: Iterable[WorkerState]) -> set[str]:
    """Return earlier crashes whose cause a trial has just shown.

    A closed connection shows that the worker of a trial crashed. The crash is
    recorded only once the next process is seen, or the lease has ended; the
    other suspects of the earlier crash need not wait for it.
    """
    crashes: set[str] = set()
    for worker in workers:
        if not worker.trials or not worker.connection_closed:
            continue
        for run, suspect in suspects_of_crash(worker):
            task = run.task
            if task is None or not (suspect and run.trial):
                continue
            if crash_evidence.crash_count(task):
                crashes.update(item.suspected_crash for item in task.members)
    return crashes - {""}


def is_cleared(task: TaskRecord, explained: set[str]) -> bool:
    """Return whether a task needs no trial as its crashes are explained.

    Parameters
    ----------
    task : TaskRecord
        A suspect.
    explained : set of str
        Crashes that other tasks have caused, by name.
    """
    return crash_evidence.crash_count(
        task
    ) <= crash_evidence.CRASHES_BEFORE_TRIAL_MAX and all(
        member.suspected_crash in explained
        for member in task.members
        if member.suspected_crash
    )
