"""Steps for jobs while a failure domain leaves and reenters service."""

import time
from typing import Any

from demo.context import check
from demo.context import DemoContext
from demo.context import failure_domain_of
from demo.standin.records import unix_ms
from demo.steps_configuration import wait_until_in_force

START_TIMEOUT_S = 20.0
MOVE_TIMEOUT_S = 40.0
FINISH_TIMEOUT_S = 60.0
# Tasks may still start for "a few seconds" after a failure domain is taken out
# of service.
START_CUTOFF_MS = 3_000
OBSERVATION_S = 4.0
SCHOLARSHIP_WORK_MS = 8_000
PROGRESS_BEFORE_EVICTION_S = 2.0
TASK_COUNT = 6
# Enough that tasks are still queued when the domain is taken out of service.
BURST_TASK_COUNT = 60


def tested_domain(demo: DemoContext) -> str:
    """Return the failure domain that the steps take out of service."""
    return demo.shape.domain_names[-1]


def evicted_job_resumes_once(demo: DemoContext) -> str:
    """Check that an evicted job resumes once, from its checkpoint.

    Its failure domain is taken out of service, so it resumes in another one.
    """
    domain = tested_domain(demo)
    job_id = demo.submit_job(
        "scholarships",
        payload=f'{{"work_ms": {SCHOLARSHIP_WORK_MS}}}',
        expected_run_ms=SCHOLARSHIP_WORK_MS,
        failure_domain=domain,
        when_domain_lost="move",
    )
    first = demo.wait_for(
        f"{job_id} starts",
        _latest_record_probe(demo, "start", job_id),
        START_TIMEOUT_S,
    )
    check(
        failure_domain_of(first) == domain,
        f"job started in {failure_domain_of(first)}",
    )
    time.sleep(PROGRESS_BEFORE_EVICTION_S)
    version = demo.set_failure_domain_state(domain, "out-of-service")
    removed_unix_ms = unix_ms()
    stopped = demo.wait_for(
        f"{job_id} stops",
        _latest_record_probe(demo, "stopped", job_id),
        START_TIMEOUT_S,
    )
    checkpoint = int(stopped["checkpoint"])
    check(checkpoint > 0, f"job stopped without a checkpoint: {stopped}")

    def second_start() -> Any:
        starts = demo.job_records("start", job_id)
        return starts[1] if len(starts) > 1 else None

    second = demo.wait_for(
        "the job starts again", second_start, MOVE_TIMEOUT_S
    )
    check(failure_domain_of(second) != domain, f"job resumed in {domain}")
    check(
        second["checkpoint"] == stopped["checkpoint"]
        and second["attempt"] > first["attempt"]
        and second["unix_ms"] >= stopped["unix_ms"],
        f"wrong resumption: stopped {stopped}; resumed {second}",
    )
    demo.wait_for(
        f"{job_id} is finished",
        lambda: demo.job_state(job_id) == "finished",
        FINISH_TIMEOUT_S,
    )
    starts = demo.job_records("start", job_id)
    ends = demo.job_records("completed", job_id)
    check(
        len(starts) == 2 and len(ends) == 1,
        f"expected 2 starts and 1 completion: starts {starts}, ends {ends}",
    )
    wait_until_in_force(demo, version)
    return (
        f"started in {domain}, stopped {stopped['unix_ms'] - removed_unix_ms} "
        f"ms after the removal with checkpoint {checkpoint} ms, resumed once "
        f"in {failure_domain_of(second)} as attempt {second['attempt']}, "
        f"completed once"
    )


def no_starts_after_removal(demo: DemoContext) -> str:
    """Check that tasks start only in other domains after a removal."""
    domain = tested_domain(demo)
    # A late start is possible only while tasks are queued. The domain is
    # therefore returned to service, given many tasks and taken out of service
    # as soon as the first one starts.
    wait_until_in_force(
        demo, demo.set_failure_domain_state(domain, "in-service")
    )
    job_before_removal = _submit_tasks(
        demo, "before-removal", BURST_TASK_COUNT, failure_domain=domain
    )
    demo.wait_for(
        f"{job_before_removal} starts",
        _latest_record_probe(demo, "start", job_before_removal),
        START_TIMEOUT_S,
    )
    version = demo.set_failure_domain_state(domain, "out-of-service")
    removed_unix_ms = unix_ms()
    job_after_removal = _submit_tasks(demo, "after-removal")
    demo.wait_for(
        f"{TASK_COUNT} tasks of {job_after_removal} start",
        lambda: (
            len(demo.job_records("start", job_after_removal)) >= TASK_COUNT
        ),
        START_TIMEOUT_S,
    )
    since_removal_s = (unix_ms() - removed_unix_ms) / 1000
    cutoff_s = START_CUTOFF_MS / 1000
    time.sleep(max(0.0, cutoff_s + OBSERVATION_S - since_removal_s))
    late_starts = [
        record
        for record in demo.worker_records("start", domain)
        if record["unix_ms"] > removed_unix_ms + START_CUTOFF_MS
    ]
    check(
        not late_starts,
        f"tasks started in {domain} later than {cutoff_s:g} s after its "
        f"removal: {late_starts}",
    )
    start_domains = {
        failure_domain_of(record)
        for record in demo.job_records("start", job_after_removal)
    }
    check(
        domain not in start_domains,
        f"{job_after_removal} started in {start_domains}",
    )
    wait_until_in_force(demo, version)
    started = len(demo.job_records("start", job_before_removal))
    return (
        f"{domain} taken out of service with {BURST_TASK_COUNT} tasks "
        f"submitted: "
        f"{started} started, none later than {cutoff_s:g} s (observed for "
        f"{cutoff_s + OBSERVATION_S:g} s); {TASK_COUNT} new tasks started in "
        f"{', '.join(sorted(start_domains))}"
    )


def returned_domain_starts_tasks(demo: DemoContext) -> str:
    """Check that tasks start in a domain that was returned to service."""
    domain = tested_domain(demo)
    started = time.monotonic()
    version = demo.set_failure_domain_state(domain, "in-service")
    job_id = _submit_tasks(demo, "after-return", failure_domain=domain)
    record = demo.wait_for(
        f"{job_id} starts",
        _latest_record_probe(demo, "start", job_id),
        START_TIMEOUT_S,
    )
    elapsed_s = time.monotonic() - started
    check(
        failure_domain_of(record) == domain,
        f"job started in {failure_domain_of(record)}",
    )
    demo.wait_for(
        f"{job_id} is finished",
        lambda: demo.job_state(job_id) == "finished",
        FINISH_TIMEOUT_S,
    )
    wait_until_in_force(demo, version)
    return f"first start in {domain} after {elapsed_s:.2f} s; job finished"


def _submit_tasks(
    demo: DemoContext, name: str, count: int = TASK_COUNT, **fields: Any
) -> str:
    return demo.submit_job(
        name,
        task_count=count,
        payload='{"work_ms": 1000}',
        expected_run_ms=1_000,
        **fields,
    )


def _latest_record_probe(demo: DemoContext, event: str, job_id: str) -> Any:
    def latest_record() -> dict[str, Any] | None:
        records = demo.job_records(event, job_id)
        return records[-1] if records else None

    return latest_record
