"""Task names of the form ``job.occurrence.step.index``."""


def task_key(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def split_task_key(key: str) -> tuple[str, int, int, int] | None:
    """Return job, occurrence, step and index, or None for other names."""
    parts = key.rsplit(".", 3)
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])
