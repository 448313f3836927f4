"""State of a control group, as stored in snapshots."""

import msgspec

from sardinespool.messages.estimates import RecordEstimates
from sardinespool.messages.fleet import WorkerDescription
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.messages.workflows import WorkflowState
from sardinespool.workflows.records import TaskState
from sardinespool.workflows.records import WorkflowRecord


class TaskImage(msgspec.Struct, frozen=True, array_like=True):
    """One task."""

    state: int
    run: int
    worker_id: str
    life: int
    failures: int
    checkpoint: str


class WorkflowImage(msgspec.Struct, frozen=True):
    """One job; `occurrences` holds the tasks of each opened one by step."""

    job_id: str
    queue: QueueSpec
    spec: WorkflowSpec
    accepted_unix_ms: int
    state: WorkflowState
    begun: bool
    ended_unix_ms: int
    done_occurrences: int
    occurrences: dict[int, tuple[tuple[TaskImage, ...], ...]]


class ControlImage(msgspec.Struct, frozen=True):
    """Whole state of a control group."""

    group_incarnation: str
    manifest: PublishManifest | None
    evacuated: tuple[str, ...]
    workers: tuple[WorkerDescription, ...]
    workflows: tuple[WorkflowImage, ...]
    estimates: RecordEstimates | None = None


_DECODER = msgspec.msgpack.Decoder(ControlImage)


def decode_image(data: bytes) -> ControlImage:
    """Decode a snapshot."""
    return _DECODER.decode(data)


def image_of(workflow: WorkflowRecord) -> WorkflowImage:
    """Return the stored form of a job."""
    return WorkflowImage(
        job_id=workflow.job_id,
        queue=workflow.queue,
        spec=workflow.spec,
        accepted_unix_ms=workflow.accepted_unix_ms,
        state=workflow.state,
        begun=workflow.begun,
        ended_unix_ms=workflow.ended_unix_ms,
        done_occurrences=workflow.done_occurrences,
        occurrences={
            number: tuple(
                tuple(
                    TaskImage(
                        int(task.state),
                        task.run,
                        task.worker_id,
                        task.life,
                        task.failures,
                        task.checkpoint,
                    )
                    for task in step.tasks
                )
                for step in steps
            )
            for number, steps in workflow.occurrences.items()
        },
    )


def workflow_of(image: WorkflowImage) -> WorkflowRecord:
    """Return the job of a stored form."""
    workflow = WorkflowRecord(
        image.job_id, image.queue, image.spec, image.accepted_unix_ms
    )
    workflow.state = image.state
    workflow.begun = image.begun
    workflow.ended_unix_ms = image.ended_unix_ms
    workflow.done_occurrences = image.done_occurrences
    for number, steps in image.occurrences.items():
        records = workflow.open_occurrence(number)
        for step, images in zip(records, steps, strict=True):
            step.waiting.clear()
            step.remaining = 0
            for task, stored in zip(step.tasks, images, strict=True):
                task.state = TaskState(stored.state)
                task.run = stored.run
                task.worker_id = stored.worker_id
                task.life = stored.life
                task.failures = stored.failures
                task.checkpoint = stored.checkpoint
                if task.state is not TaskState.DONE:
                    step.remaining += 1
                if task.state is TaskState.WAITING:
                    step.waiting.add(task.index)
    return workflow
