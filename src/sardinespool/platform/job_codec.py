"""JSON decoding of submitted jobs."""

import msgspec

from sardinespool.errors.tasks import InvalidJobError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.decoding import decode
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.platform.integers import Count

JOB_BODY_LIMIT_BYTES = 262_144
"""Body limit in the platform's manifests; submitted jobs are far smaller."""


class _Step(msgspec.Struct, frozen=True):
    count: Count = 0
    # In millicores.
    cpu: Count = 0
    requested_memory_mb: Count = 0
    gpus: Count = 0
    estimated_ms: Count = 0
    after: tuple[Count, ...] = ()
    checkpointing: bool = False
    gang_scheduled: bool = False
    same_rack: bool = False
    # A single label that the worker must have.
    requirements: str = ""
    data_rack: str = ""
    # Maximum number of the step's tasks on one worker.
    anti_affinity: Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    # Tail latency of the task's responses, not the run time.
    target_ms: Count = 0
    # The step uses leftover processors without a reservation.
    fills: bool = False
    # Maximum number of unavailable tasks.
    may_miss: Count = 0


class _Job(msgspec.Struct, frozen=True):
    task_spec: str
    steps: tuple[_Step, ...]
    repetitions: Count = 0
    first_run_ms: Count = 0
    interval_ms: Count = 0


_DECODER = msgspec.json.Decoder(_Job)


def decode_job(body: bytes) -> WorkflowSpec:
    """Decode a submitted job.

    Raises
    ------
    InvalidJobError
        The body is not a valid job.
    """
    try:
        job = decode(_DECODER, body)
    except InvalidMessageError as error:
        raise InvalidJobError(f"The body is not a job: {error}") from error
    return WorkflowSpec(
        payload=job.task_spec,
        steps=tuple(_step_spec(step) for step in job.steps),
        repetitions=job.repetitions,
        first_due_unix_ms=job.first_run_ms,
        interval_ms=job.interval_ms,
    )


def _step_spec(step: _Step) -> StepSpec:
    return StepSpec(
        count=step.count,
        processors_millicores=step.cpu,
        memory_mb=step.requested_memory_mb,
        accelerators=step.gpus,
        expected_run_ms=step.estimated_ms,
        after=step.after,
        checkpointing=step.checkpointing,
        gang=step.gang_scheduled,
        same_rack=step.same_rack,
        speculative=step.speculative,
        long_running=step.long_running,
        uses_leftover_processors=step.fills,
        tasks_per_worker_max=step.anti_affinity,
        data_rack=step.data_rack,
        required_label=step.requirements,
        image=step.image,
        tail_latency_target_ms=step.target_ms,
        unavailable_max=step.may_miss,
    )
