"""Task names of the form ``job.occurrence.step.index``."""

DIGITS_MAX = 19
"""Digits of the largest number of 64 bits."""


def task_key(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def split_task_key(key: str) -> tuple[str, int, int, int] | None:
    """Return job, occurrence, step and index, or None for other names."""
    parts = key.rsplit(".", 3)
    if len(parts) != 4 or not all(_is_number(part) for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])


def _is_number(text: str) -> bool:
    """Return whether a text is a number in the form that names use."""
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= DIGITS_MAX
        and (text == "0" or not text.startswith("0"))
    )
