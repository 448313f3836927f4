"""Snapshot format of the state of a control group."""

from collections.abc import Sequence

import msgspec

from sardinespool.messages.estimates import RecordEstimates
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import JobAddress
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.messages.workflows import WorkflowState
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import TaskState
from sardinespool.workflows.records import WorkflowRecord


class TaskSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a task.

    Earlier builds store no `failed_runs` and no `checkpoint_run`; they read
    only `failures`, the number of failed runs. The fields from `crashed_runs`
    on came later, and those from `crash_age_ms` on still later.
    """

    state: int
    run: int
    worker_id: str
    incarnation: int = msgspec.field(name="life")
    failures: int
    checkpoint: str
    failed_runs: tuple[int, ...] = ()
    checkpoint_run: int = 0
    crashed_runs: tuple[int, ...] = ()
    suspected_crash: str = ""
    trial_run: int = 0
    crash_age_ms: int = 0
    cleared_run: int = 0


class WorkflowSnapshot(msgspec.Struct, frozen=True):
    """Stored form of a job.

    `occurrences` holds the tasks of each opened occurrence, grouped by step.
    Earlier builds store no `workspace` and no `in_excess`.
    """

    job_id: str
    queue: QueueSpec
    spec: WorkflowSpec
    accepted_unix_ms: int
    state: WorkflowState
    begun: bool
    ended_unix_ms: int
    done_occurrences: int
    occurrences: dict[int, tuple[tuple[TaskSnapshot, ...], ...]]
    workspace: str = ""
    in_excess: bool = False


class ControlSnapshot(msgspec.Struct, frozen=True):
    """Complete stored state of a control group.

    Earlier builds store no `departed` and no `quotas_full_unix_us`, the state
    of `JobQuotas`, and no `tombstones` and `last_tombstone`.
    """

    group_incarnation: str
    manifest: PublishManifest | None
    evacuated: tuple[str, ...]
    workers: tuple[WorkerDescription, ...]
    workflows: tuple[WorkflowSnapshot, ...]
    estimates: RecordEstimates | None = None
    departed: dict[str, int] = {}
    quotas_full_unix_us: dict[str, int] = {}
    tombstones: tuple[tuple[JobAddress, int], ...] = ()
    last_tombstone: int = 0


_DECODER = msgspec.msgpack.Decoder(ControlSnapshot)


def decode_snapshot(data: bytes) -> ControlSnapshot:
    """Decode a snapshot."""
    return _DECODER.decode(data)


def snapshot_of(workflow: WorkflowRecord) -> WorkflowSnapshot:
    """Return the stored form of a job."""
    return WorkflowSnapshot(
        job_id=workflow.job_id,
        queue=workflow.queue,
        spec=workflow.spec,
        accepted_unix_ms=workflow.accepted_unix_ms,
        state=workflow.state,
        begun=workflow.begun,
        ended_unix_ms=workflow.ended_unix_ms,
        done_occurrences=workflow.done_occurrences,
        occurrences={
            occurrence: tuple(
                tuple(
                    TaskSnapshot(
                        int(task.state),
                        task.run,
                        task.worker_id,
                        task.incarnation,
                        task.failures,
                        task.checkpoint,
                        tuple(sorted(task.failed_runs)),
                        task.checkpoint_run,
                        tuple(sorted(task.crashed_runs)),
                        task.suspected_crash,
                        task.trial_run,
                        task.crash_age_ms,
                        task.cleared_run,
                    )
                    for task in step.tasks
                )
                for step in steps
            )
            for occurrence, steps in workflow.occurrences.items()
        },
        workspace=workflow.workspace,
        in_excess=workflow.in_excess,
    )


def restore_workflow(snapshot: WorkflowSnapshot) -> WorkflowRecord:
    """Restore a job from its stored form."""
    workflow = WorkflowRecord(
        snapshot.job_id,
        snapshot.queue,
        snapshot.spec,
        snapshot.accepted_unix_ms,
        snapshot.workspace,
    )
    workflow.in_excess = snapshot.in_excess
    workflow.state = snapshot.state
    workflow.begun = snapshot.begun
    workflow.ended_unix_ms = snapshot.ended_unix_ms
    workflow.done_occurrences = snapshot.done_occurrences
    for occurrence, steps in snapshot.occurrences.items():
        records = workflow.open_occurrence(occurrence)
        done: list[StepRecord] = []
        for step, snapshots in zip(records, steps, strict=True):
            step.waiting.clear()
            step.remaining = 0
            for task, stored in zip(step.tasks, snapshots, strict=True):
                task.state = TaskState(stored.state)
                task.run = stored.run
                task.worker_id = stored.worker_id
                task.incarnation = stored.incarnation
                task.checkpoint = stored.checkpoint
                task.checkpoint_run = stored.checkpoint_run
                task.crashed_runs = frozenset(stored.crashed_runs)
                task.suspected_crash = stored.suspected_crash
                task.trial_run = stored.trial_run
                task.crash_age_ms = stored.crash_age_ms
                task.cleared_run = stored.cleared_run
                if task.checkpoint and not task.checkpoint_run:
                    task.checkpoint_run = task.ended_run
                if task.state is not TaskState.DONE:
                    step.remaining += 1
                if task.state is TaskState.WAITING:
                    step.waiting.add(task.index)
                step.last_run = max(step.last_run, task.run)
                if step.spec.gang:
                    step.gang_crashed_runs |= task.crashed_runs
                    step.gang_cleared_run = max(
                        step.gang_cleared_run, task.cleared_run
                    )
            workflow.assigned_count += step.assigned_count
            if not step.remaining:
                done.append(step)
            if not step.spec.long_running:
                _restore_failed_runs(step, snapshots)
        for step in done:
            workflow.step_done(step)
    return workflow


def _restore_failed_runs(
    step: StepRecord, snapshots: Sequence[TaskSnapshot]
) -> None:
    """Restore the numbers of failed runs.

    Failures without numbers are attributed to the latest ended runs, as only
    ends that are not acknowledged yet are recorded again. A task can't have
    more failures than ended runs.
    """
    for task, stored in zip(step.tasks, snapshots, strict=True):
        task.failed_runs = frozenset(stored.failed_runs)
        if step.spec.gang:
            step.gang_failed_runs |= task.failed_runs
    for task, stored in zip(step.tasks, snapshots, strict=True):
        missing = stored.failures - task.failures
        for run in range(task.ended_run, 0, -1):
            if missing <= 0:
                break
            missing -= task.add_failed_run(run)
