"""Sound work beside work that fails on every worker, and faulty workers."""

import dataclasses

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.failure_evidence import JobFailures
from sardinespool.dispatch.failure_evidence import WORKING_MS
from sardinespool.dispatch.restart_delays import DELAY_MAX_MS
from sardinespool.dispatch.restart_delays import RestartDelays
from sardinespool.messages.workflows import RunOutcome
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation
from testing.dispatch.support import add_running

WORKERS = 8
START_WITHIN_MS = 3_000
SOUND_RUN_MS = 300
WARM_UP_MS = 5_000
RUN_MS = 24_000
SOUND = StepSpec(
    count=1,
    processors_millicores=250,
    memory_mb=10,
    expected_run_ms=SOUND_RUN_MS,
)


@dataclasses.dataclass(frozen=True)
class FailingWork:
    """Jobs whose tasks fail on every worker, and where they may run.

    A job comes every `interval_ms`; without one, all come at the start.
    """

    step: StepSpec
    run_ms: int = 400
    jobs: int = 4
    interval_ms: int = 0
    sound: StepSpec = SOUND
    labels: int = 0
    workers: int = WORKERS


LASTING = StepSpec(
    count=6, processors_millicores=375, memory_mb=10, long_running=True
)
FINITE = StepSpec(
    count=6, processors_millicores=375, memory_mb=10, expected_run_ms=400
)
LABELLED = "gpu"


def restricted(step: StepSpec) -> StepSpec:
    return StepSpec(
        count=min(2, step.count),
        processors_millicores=step.processors_millicores,
        memory_mb=step.memory_mb,
        long_running=step.long_running,
        expected_run_ms=step.expected_run_ms,
        required_label=LABELLED,
    )


def make_simulation(work: FailingWork, seed: int) -> Simulation:
    simulation = Simulation(seed, workers=work.workers)
    for number, worker in enumerate(simulation.workers.values()):
        worker.failure_ratio = 0.0
        worker.fails = lambda task: task.startswith("bad")
        worker.run_time_ms = lambda task: (
            work.run_ms if task.startswith("bad") else SOUND_RUN_MS
        )
        if number < work.labels:
            worker.labels = (LABELLED, "rack")
    simulation.run(1_500)
    return simulation


def submit_failing_work(simulation: Simulation, work: FailingWork) -> None:
    for number in range(work.jobs):
        simulation.at(
            number * work.interval_ms,
            lambda number=number: simulation.submit(f"bad{number}", work.step),
        )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "work",
    [
        pytest.param(FailingWork(LASTING), id="lasting tasks, at once"),
        pytest.param(
            FailingWork(LASTING, run_ms=2_000), id="lasting tasks, after 2 s"
        ),
        pytest.param(
            FailingWork(LASTING, run_ms=WORKING_MS + 500),
            id="lasting tasks, after 5 s",
        ),
        pytest.param(
            FailingWork(FINITE, jobs=60, interval_ms=400),
            id="new jobs all the time",
        ),
        pytest.param(
            FailingWork(
                restricted(LASTING), sound=restricted(SOUND), labels=1
            ),
            id="lasting tasks, all on the only worker with a label",
        ),
        pytest.param(
            FailingWork(
                restricted(FINITE),
                jobs=60,
                interval_ms=400,
                sound=restricted(SOUND),
                labels=1,
            ),
            id="new jobs, all on the only worker with a label",
        ),
        pytest.param(
            FailingWork(
                FINITE,
                jobs=200,
                interval_ms=150,
                sound=restricted(SOUND),
                labels=1,
            ),
            id="new jobs, sound ones on the only worker with a label",
        ),
        pytest.param(
            FailingWork(LASTING, jobs=2, workers=1), id="only one worker"
        ),
    ],
)
def test_sound_jobs_start_whatever_other_work_does(
    work: FailingWork, seed: int
) -> None:
    """Guards against workers set aside for work that fails everywhere."""
    simulation = make_simulation(work, seed)
    submit_failing_work(simulation, work)
    simulation.run(WARM_UP_MS)
    late: list[str] = []

    def check(job: str) -> None:
        if simulation.read_state(job) != "completed":
            late.append(job)

    for number in range(RUN_MS // 500):
        job = f"sound{number}"
        simulation.at(
            number * 500, lambda job=job: simulation.submit(job, work.sound)
        )
        simulation.at(
            number * 500 + START_WITHIN_MS + SOUND_RUN_MS + 200,
            lambda job=job: check(job),
        )
    simulation.run(RUN_MS + START_WITHIN_MS + SOUND_RUN_MS + 500)
    assert late == []


def test_sound_jobs_start_after_a_change_of_leader() -> None:
    """Guards against a leader that learns from failing work alone."""
    work = FailingWork(LASTING)
    simulation = make_simulation(work, 3)
    submit_failing_work(simulation, work)
    simulation.run(WARM_UP_MS)
    simulation.lose_leader(50)
    simulation.run(500)
    simulation.submit("sound", SOUND)
    simulation.run(START_WITHIN_MS + SOUND_RUN_MS + 200)
    assert simulation.read_state("sound") == "completed"


@pytest.mark.parametrize("faulty", [1, 2])
@pytest.mark.parametrize("lost_leader", [False, True])
def test_worker_on_which_all_jobs_fail_is_found(
    faulty: int, lost_leader: bool
) -> None:
    """Guards against failures that are attributed to sound jobs.

    A faulty worker may fail the jobs that show the fault, again after each
    change of leader, and one task at the end of each quarantine.
    """
    simulation = Simulation(5, workers=WORKERS)
    workers = list(simulation.workers.values())
    for worker in workers:
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: SOUND_RUN_MS
    for worker in workers[:faulty]:
        worker.failing = True
    simulation.run(1_500)
    for number in range(RUN_MS // 400):
        simulation.at(
            number * 400,
            lambda number=number: simulation.submit(
                f"job{number}",
                StepSpec(
                    count=8,
                    processors_millicores=500,
                    memory_mb=10,
                    expected_run_ms=SOUND_RUN_MS,
                ),
            ),
        )
    if lost_leader:
        simulation.at(RUN_MS // 2, lambda: simulation.lose_leader(50))
    simulation.run(RUN_MS + 5_000)
    quarantines = RUN_MS // 3_000
    leaders = 1 + lost_leader
    failed = [worker.failed_runs for worker in workers[:faulty]]
    assert max(failed) <= quarantines + 8 * leaders
    assert all(
        simulation.read_state(f"job{number}") == "completed"
        for number in range(RUN_MS // 400)
    )


def test_sound_job_starts_on_the_only_worker_though_it_is_set_aside() -> None:
    """Guards against a task that waits as long as failures come elsewhere."""
    simulation = make_simulation(
        FailingWork(FINITE, sound=restricted(SOUND), labels=1), 6
    )
    numbers = iter(range(1_000))

    def fail_again() -> None:
        for _ in range(2):
            end_run(simulation, f"bad{next(numbers)}", "w0", "failed")

    for at_ms in range(0, 6_000, 250):
        simulation.at(at_ms, fail_again)
    simulation.run(1_000)
    simulation.submit("sound", restricted(SOUND))
    simulation.run(START_WITHIN_MS + SOUND_RUN_MS + 200)
    assert simulation.read_state("sound") == "completed"


@pytest.mark.parametrize(
    ("cause", "workers", "expected"),
    [
        ("failed", 1, 0),
        ("failed", 2, 1),
        ("failed", 3, 1),
        ("failed", 8, 3),
        ("failed", 30, 10),
        ("stalled", 1, 1),
        ("stalled", 2, 1),
        ("stalled", 8, 3),
    ],
)
def test_share_of_a_pool_that_is_set_aside(
    cause: str, workers: int, expected: int
) -> None:
    """Guards against failures of ever new jobs that close a whole pool."""
    simulation = Simulation(1, workers=workers)
    simulation.run(1_500)
    for number in range(4 * workers):
        worker = simulation.dispatcher.fleet.workers[f"w{number // 4}"]
        simulation.dispatcher.health._record_failure(
            worker,
            add_running(worker, StepSpec(count=1), f"bad{number}"),
            simulation.now(),
            cause,
        )
    assert len(set_aside(simulation)) == expected


def end_run(
    simulation: Simulation, job_id: str, worker_id: str, outcome: RunOutcome
) -> None:
    worker = simulation.dispatcher.fleet.workers[worker_id]
    run = add_running(worker, StepSpec(count=1), job_id)
    run.ordered_boot_ms = simulation.now().boot_ms
    simulation.dispatcher.health.run_ended(
        worker, run, outcome, simulation.now()
    )


def set_aside(simulation: Simulation) -> set[str]:
    fleet = simulation.dispatcher.fleet
    return {
        worker_id
        for worker_id, worker in fleet.workers.items()
        if not fleet.accepts_starts(worker, simulation.now())
    }


@pytest.mark.parametrize(
    ("ends", "expected"),
    [
        pytest.param("a0 b0", {"w0"}, id="two jobs failed"),
        pytest.param("a0 a0 a0", set(), id="one job failed"),
        pytest.param("a0 b0 b1", {"w0"}, id="one fails on another, too"),
        pytest.param("a0 b0 b1 b2", {"w0"}, id="one fails on three"),
        pytest.param("a0 b0 b1 b2 b3", set(), id="one fails on several"),
        pytest.param("a0 b0 c0 b1 b2 b3", {"w0"}, id="two others do not"),
        pytest.param(
            "a0 a1 a2 a3 b0", set(), id="one failed on several before"
        ),
        pytest.param(
            "a0 a1 a2 a3 b0 A4 A5 A6 A7", {"w0"}, id="it works elsewhere, too"
        ),
        pytest.param("a0 X0 b0", set(), id="a run was done between"),
    ],
)
def test_workers_set_aside_follow_what_is_known_of_the_jobs(
    ends: str, expected: set[str]
) -> None:
    """Guards against a verdict that stands when its evidence has changed.

    A letter is a job, capital where its run was done, and a digit a worker.
    """
    simulation = Simulation(1, workers=WORKERS)
    simulation.run(1_500)
    for end in ends.split():
        job, worker = end
        outcome: RunOutcome = "done" if job.isupper() else "failed"
        end_run(simulation, job.lower(), f"w{worker}", outcome)
    assert set_aside(simulation) == expected


@pytest.mark.parametrize(
    ("ends", "failed_jobs", "is_job_at_fault"),
    [
        pytest.param("a", 1, False, id="first failure"),
        pytest.param("aaaaa", 1, False, id="on one worker only"),
        pytest.param("abc", 1, True, id="on more workers than jobs fail here"),
        pytest.param("abc", 2, False, id="on hardly more workers"),
        pytest.param("abcd", 9, True, id="on more than can be set aside"),
        pytest.param("abcCD", 1, True, id="on more than it works on"),
        pytest.param("abCD", 1, False, id="on as many as it works on"),
        pytest.param("CDEFab", 1, False, id="on few of many workers"),
    ],
)
def test_attribution_of_failures(
    ends: str, failed_jobs: int, is_job_at_fault: bool
) -> None:
    """Guards against a worker that is blamed for a job, or the reverse.

    Letters are workers; capitals stand for runs that were done.
    """
    failures = JobFailures()
    for worker in ends:
        if worker.isupper():
            failures.record_success(worker)
        else:
            failures.record_failure(worker, 400)
    assert failures.is_job_at_fault(failed_jobs, 3) == is_job_at_fault


def test_failure_after_long_work_does_not_blame_the_job() -> None:
    """Guards against lasting tasks that count as never working."""
    failures = JobFailures()
    for worker in "abcd":
        failures.record_failure(worker, WORKING_MS)
    assert not failures.is_job_at_fault(1, 3)


@pytest.mark.parametrize(
    ("ages_ms", "delays_ms"),
    [
        ([400, 400, 400, 400], [0, 250, 500, 1_000]),
        ([400] * 10, [0, 250, 500, 1_000, 2_000] + [DELAY_MAX_MS] * 5),
        ([400, 400, WORKING_MS, 400, 400], [0, 250, 0, 0, 250]),
    ],
)
def test_delays_of_restarts(ages_ms: list[int], delays_ms: list[int]) -> None:
    """Guards against failing tasks that take all starts, or never restart."""
    delays = RestartDelays()
    now = Instant(0, 0)
    for age_ms, delay_ms in zip(ages_ms, delays_ms, strict=True):
        assert delays.record_failure("j.0.0.0", age_ms, now) == delay_ms
        assert delays.may_start("j.0.0.0", now) == (delay_ms == 0)
        now = now.after(delay_ms)
        assert delays.may_start("j.0.0.0", now)


def test_starts_of_tasks_that_fail_at_once_are_few() -> None:
    """Guards against restarts that take starts and log entries from others."""
    work = FailingWork(LASTING)
    simulation = make_simulation(work, 4)
    submit_failing_work(simulation, work)
    simulation.run(20_000)
    started = sum(w.failed_runs for w in simulation.workers.values())
    tasks = work.jobs * LASTING.count
    # Six starts while the delay grows, then one in each longest delay.
    assert started <= tasks * (6 + 20_000 // DELAY_MAX_MS)
    before = started
    simulation.run(6_000)
    started = sum(w.failed_runs for w in simulation.workers.values())
    assert started - before >= tasks, "not all tasks were started within 6 s"
