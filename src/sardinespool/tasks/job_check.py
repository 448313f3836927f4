"""Validation of submitted jobs."""

import re

from sardinespool.errors.tasks import InvalidJobError
from sardinespool.messages.jobs import Job

JOB_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,120}")
TASKS_MAX = 10_000
PAYLOAD_BYTES_MAX = 65_536

_FIELD_RANGES = (
    ("task_count", 1, TASKS_MAX),
    ("processors_millicores", 1, 10_000_000),
    ("memory_mb", 1, 100_000_000),
    ("accelerators", 0, 10_000),
    ("expected_run_ms", 1, 366 * 86_400_000),
    ("finish_deadline_unix_ms", 0, 2**53),
)


def check_job(job: Job) -> None:
    """Check that every field of a job is in range.

    Raises
    ------
    InvalidJobError
        A field is out of range; names the field, the value found and the
        allowed range.
    """
    if not JOB_ID_PATTERN.fullmatch(job.job_id):
        raise InvalidJobError(
            "The job id must have 1 to 120 letters, digits or . _ -",
            field="job_id",
            found=job.job_id,
        )
    if not job.team:
        raise InvalidJobError("The job must name its team.", field="team")
    for field_name, minimum, maximum in _FIELD_RANGES:
        value = getattr(job, field_name)
        if not minimum <= value <= maximum:
            raise InvalidJobError(
                f"{field_name} must be from {minimum} to {maximum}.",
                field=field_name,
                found=value,
            )
    if len(job.payload.encode()) > PAYLOAD_BYTES_MAX:
        raise InvalidJobError(
            f"The payload is over {PAYLOAD_BYTES_MAX} bytes.",
            field="payload",
        )
