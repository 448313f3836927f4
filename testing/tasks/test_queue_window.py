"""Tests of the queued tasks in a scheduling view."""

import pytest

from sardinespool.messages.jobs import Job
from sardinespool.tasks.job_record import JobRecord
from sardinespool.tasks.queue_window import FRONT_TASKS
from sardinespool.tasks.queue_window import queue_window
from sardinespool.tasks.queue_window import ROTATING_TASKS
from sardinespool.tasks.record import TaskRecord
from sardinespool.tasks.table import TaskTable


def table_with_jobs(*jobs: Job) -> TaskTable:
    table = TaskTable()
    for job in jobs:
        table.add_job(
            JobRecord(job=job, assign_sequence=1),
            [
                TaskRecord(
                    task_id=f"{job.job_id}/{number}",
                    job_id=job.job_id,
                    number=number,
                )
                for number in range(job.task_count)
            ],
        )
    return table


@pytest.mark.parametrize("count", [0, 1, 2_500, 2_501, 9_000])
def test_every_queued_task_appears_in_some_view(count: int) -> None:
    """Guards against starvation by tasks at the front of the queue."""
    table = table_with_jobs(Job(job_id="j", team="t", task_count=count))
    seen_task_ids = set()
    for now_unix_ms in range(0, 10_000, 500):
        window = queue_window(table, now_unix_ms)
        assert len(window) <= FRONT_TASKS + ROTATING_TASKS
        assert len({task.task_id for task in window}) == len(window)
        seen_task_ids.update(task.task_id for task in window)
    assert len(seen_task_ids) == count


def test_urgent_tasks_and_early_deadlines_come_first() -> None:
    """Guards against urgent tasks that appear only in some views."""
    table = table_with_jobs(
        Job(job_id="a", team="t", task_count=9_000),
        Job(job_id="due", team="t", finish_deadline_unix_ms=5),
        Job(job_id="urgent", team="t", priority="urgent"),
    )
    window = queue_window(table, 12_345_000)
    assert [task.job_id for task in window[:2]] == ["urgent", "due"]
