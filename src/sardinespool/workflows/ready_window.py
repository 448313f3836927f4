"""Part of the ready steps that one planning pass considers.

Load pattern: jobs of thousands of ready steps, or thousands of jobs. A pass
over all of them takes longer than the lease of the leader, so it takes a part,
and the next pass goes on with others. Each job has a share, so that a wide one
does not delay the others.
"""

import itertools

from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.table import StepKey
from sardinespool.workflows.table import WorkflowTable


def ready_window(
    table: WorkflowTable, limit: int
) -> dict[StepKey, StepRecord]:
    """Return up to `limit` ready steps; later calls return others first.

    All are returned if they are not more. Otherwise each job gets an equal
    share, and what some do not need goes to the others.
    """
    if len(table.ready) <= limit:
        return table.ready
    by_job = table.ready_by_job
    window: dict[StepKey, StepRecord] = {}
    jobs = list(itertools.islice(by_job, limit))
    # Jobs with few steps leave more to those that come after them.
    jobs.sort(key=lambda job_id: len(by_job[job_id]))
    for position, job_id in enumerate(jobs):
        steps = by_job[job_id]
        share = (limit - len(window)) // (len(jobs) - position)
        keys = list(itertools.islice(steps, share))
        for key in keys:
            window[key] = steps[key]
        if len(keys) < len(steps):
            for key in keys:
                steps[key] = steps.pop(key)
    if len(jobs) < len(by_job):
        for job_id in jobs:
            by_job[job_id] = by_job.pop(job_id)
    return window
