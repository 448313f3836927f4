"""Steps: jobs under leases, and a failure domain taken out and returned."""

import time
from typing import Any

from demo.context import check
from demo.context import Demo
from demo.context import domain_of
from demo.standin.records import unix_ms
from demo.steps_configuration import wait_in_force

START_TIMEOUT_S = 20.0
MOVE_TIMEOUT_S = 40.0
FINISH_TIMEOUT_S = 60.0
# Starts may follow a domain's removal for "a few seconds" only.
NO_START_AFTER_MS = 3_000
OBSERVED_S = 4.0
SCHOLARSHIP_WORK_MS = 8_000
PROGRESS_BEFORE_EVICTION_S = 2.0
TASKS = 6
# Enough that tasks still wait and start when the domain is taken out.
BURST_TASKS = 60


def drained_domain(demo: Demo) -> str:
    """Return the failure domain that the steps take out."""
    return demo.shape.domain_names[-1]


def evicted_job_resumes_once(demo: Demo) -> str:
    """Check that an evicted job resumes once, from its checkpoint."""
    domain = drained_domain(demo)
    job_id = demo.submit_job(
        "scholarships",
        payload=f'{{"work_ms": {SCHOLARSHIP_WORK_MS}}}',
        expected_run_ms=SCHOLARSHIP_WORK_MS,
        failure_domain=domain,
        when_domain_lost="move",
    )
    first = demo.wait_for(
        f"a start of {job_id}", _last(demo, "start", job_id), START_TIMEOUT_S
    )
    check(domain_of(first) == domain, f"it started in {domain_of(first)}")
    time.sleep(PROGRESS_BEFORE_EVICTION_S)
    version = demo.set_domain(domain, "out-of-service")
    removed_unix_ms = unix_ms()
    stopped = demo.wait_for(
        f"a stop of {job_id}", _last(demo, "stopped", job_id), START_TIMEOUT_S
    )
    checkpoint = int(stopped["checkpoint"])
    check(checkpoint > 0, f"stopped without a checkpoint: {stopped}")

    def second_start() -> Any:
        starts = demo.job_records("start", job_id)
        return starts[1] if len(starts) > 1 else None

    second = demo.wait_for("a second start", second_start, MOVE_TIMEOUT_S)
    check(domain_of(second) != domain, f"it resumed in {domain} again")
    check(
        second["checkpoint"] == stopped["checkpoint"]
        and second["attempt"] > first["attempt"]
        and second["unix_ms"] >= stopped["unix_ms"],
        f"stopped: {stopped}; resumed: {second}",
    )
    demo.wait_for(
        f"{job_id} is finished",
        lambda: demo.job_state(job_id) == "finished",
        FINISH_TIMEOUT_S,
    )
    starts = demo.job_records("start", job_id)
    ends = demo.job_records("completed", job_id)
    check(len(starts) == 2 and len(ends) == 1, f"starts {starts}, ends {ends}")
    wait_in_force(demo, version)
    return (
        f"started in {domain}, stopped {stopped['unix_ms'] - removed_unix_ms} "
        f"ms after the removal with checkpoint {checkpoint} ms, resumed once "
        f"in {domain_of(second)} as attempt {second['attempt']}, completed "
        f"once"
    )


def no_starts_in_removed_domain(demo: Demo) -> str:
    """Check that no task starts in a removed domain, but elsewhere."""
    domain = drained_domain(demo)
    # A late start is only possible while tasks wait, so the domain is
    # returned, gets many, and is taken out as soon as one of them starts.
    wait_in_force(demo, demo.set_domain(domain, "in-service"))
    before = _submit_tasks(
        demo, "before-removal", BURST_TASKS, failure_domain=domain
    )
    demo.wait_for(
        f"a start of {before}", _last(demo, "start", before), START_TIMEOUT_S
    )
    version = demo.set_domain(domain, "out-of-service")
    removed_unix_ms = unix_ms()
    elsewhere = _submit_tasks(demo, "after-removal")
    demo.wait_for(
        f"{TASKS} tasks of {elsewhere} start",
        lambda: len(demo.job_records("start", elsewhere)) >= TASKS,
        START_TIMEOUT_S,
    )
    passed_s = (unix_ms() - removed_unix_ms) / 1000
    limit_s = NO_START_AFTER_MS / 1000
    time.sleep(max(0.0, limit_s + OBSERVED_S - passed_s))
    late = [
        record
        for record in demo.worker_records("start", domain)
        if record["unix_ms"] > removed_unix_ms + NO_START_AFTER_MS
    ]
    check(not late, f"starts in {domain} after {limit_s:g} s: {late}")
    places = {domain_of(r) for r in demo.job_records("start", elsewhere)}
    check(domain not in places, f"{elsewhere} started in {places}")
    wait_in_force(demo, version)
    started = len(demo.job_records("start", before))
    return (
        f"{domain} taken out while {BURST_TASKS} tasks were to start there: "
        f"{started} did, none later than {limit_s:g} s after it (watched for "
        f"{limit_s + OBSERVED_S:g} s); {TASKS} new tasks started in "
        f"{', '.join(sorted(places))}"
    )


def returned_domain_starts_again(demo: Demo) -> str:
    """Check that a returned failure domain starts tasks again."""
    domain = drained_domain(demo)
    started = time.monotonic()
    version = demo.set_domain(domain, "in-service")
    job_id = _submit_tasks(demo, "after-return", failure_domain=domain)
    record = demo.wait_for(
        f"a start of {job_id}", _last(demo, "start", job_id), START_TIMEOUT_S
    )
    elapsed_s = time.monotonic() - started
    check(domain_of(record) == domain, f"it started in {domain_of(record)}")
    demo.wait_for(
        f"{job_id} is finished",
        lambda: demo.job_state(job_id) == "finished",
        FINISH_TIMEOUT_S,
    )
    wait_in_force(demo, version)
    return f"first start in {domain} after {elapsed_s:.2f} s; all finished"


def _submit_tasks(
    demo: Demo, name: str, count: int = TASKS, **fields: Any
) -> str:
    return demo.submit_job(
        name,
        task_count=count,
        payload='{"work_ms": 1000}',
        expected_run_ms=1_000,
        **fields,
    )


def _last(demo: Demo, event: str, job_id: str) -> Any:
    def probe() -> dict[str, Any] | None:
        records = demo.job_records(event, job_id)
        return records[-1] if records else None

    return probe
