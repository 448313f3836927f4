"""Which jobs are accepted, and when refused callers come back."""

import collections

import msgspec
import pytest

from sardinespool.dispatch.returns import REMEMBERED_MS
from sardinespool.dispatch.returns import RETRY_MAX_S
from sardinespool.dispatch.returns import RETRY_MIN_S
from sardinespool.dispatch.returns import Returns
from sardinespool.dispatch.returns import RETURNS_MAX
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors import SardinespoolError
from sardinespool.errors.tasks import OverloadedError
from sardinespool.errors.tasks import UnplaceableJobError
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WorkflowSpec
from testing.dispatch.simulation import HOST
from testing.dispatch.simulation import PREFIX
from testing.dispatch.simulation import Simulation

STEP = StepSpec(
    count=16, processors_millicores=1_000, memory_mb=10, expected_run_ms=500
)
LARGE = msgspec.structs.replace(STEP, processors_millicores=5_000)
YEAR = msgspec.structs.replace(STEP, count=4, expected_run_ms=365 * 86_400_000)


def changed(**changes: object) -> StepSpec:
    return msgspec.structs.replace(STEP, **changes)


def make_simulation(admission: bool = True) -> Simulation:
    """Return four workers of four processors that this leader knows."""
    simulation = Simulation(1, settings=DispatchSettings(admission=admission))
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: 500
    simulation.run(4_000)
    return simulation


def flood(simulation: Simulation, step: StepSpec) -> list[str]:
    """Submit ten times what the workers can do; return the refused jobs."""
    refused = []
    for number in range(60):
        try:
            simulation.submit(f"flood{number}", step)
        except OverloadedError:
            refused.append(f"flood{number}")
        simulation.run(50)
    return refused


def is_refused(simulation: Simulation, job_id: str, step: StepSpec) -> bool:
    try:
        simulation.submit(job_id, step)
    except SardinespoolError:
        return True
    return False


def count_worthless(admission: bool, step: StepSpec) -> tuple[int, int]:
    """Return the accepted jobs of a flood, and those that earn nothing."""
    simulation = make_simulation(admission)
    flood(simulation, step)
    simulation.run(60_000)
    assert simulation.oracle.violations == []
    ages_ms = [
        item.ended_unix_ms - item.accepted_unix_ms
        for item in simulation.machine.table.workflows.values()
        if item.state == "completed"
    ]
    return len(ages_ms), sum(age_ms > 3 * 1_500 for age_ms in ages_ms)


@pytest.mark.parametrize("best_effort", [False, True])
def test_accepted_jobs_of_a_flood_earn_something(best_effort: bool) -> None:
    """Guards against jobs that are accepted though they must end late.

    Those that earn nothing fall to a quarter.
    """
    step = changed(uses_leftover_processors=best_effort)
    accepted, worthless = count_worthless(True, step)
    everything, before = count_worthless(False, step)
    assert everything == 60
    assert accepted >= 5
    assert worthless <= before / 4


@pytest.mark.parametrize(
    ("job_id", "step", "refused"),
    [
        ("new", STEP, True),
        ("flood0", STEP, False),
        ("lasting", changed(long_running=True), False),
    ],
)
def test_only_jobs_that_would_end_late_are_refused(
    job_id: str, step: StepSpec, refused: bool
) -> None:
    """Guards against refusals of what was accepted before, or must be."""
    simulation = make_simulation()
    flood(simulation, STEP)
    assert is_refused(simulation, job_id, step) is refused


@pytest.mark.parametrize(
    ("waiting", "best_effort"),
    [
        (changed(processors_millicores=3_000), False),
        (changed(count=20, gang=True, memory_mb=1_000), True),
        (changed(tasks_per_worker_max=1), True),
        (YEAR, False),
    ],
    ids=["large", "gang", "limit", "year"],
)
def test_jobs_are_accepted_while_room_is_free(
    waiting: StepSpec, best_effort: bool
) -> None:
    """Guards against refusals because of others that don't fill the fleet.

    Half of the processors are in use for long, and a step waits, but not for
    want of processors for others.
    """
    simulation = make_simulation()
    for worker in simulation.workers.values():
        worker.run_time_ms = lambda task: (
            500 if task.startswith("job") else 20_000
        )
    kind = {"uses_leftover_processors": best_effort, "expected_run_ms": 20_000}
    simulation.submit("occupant", changed(count=8, **kind))
    simulation.run(1_000)
    if waiting is not YEAR:
        waiting = msgspec.structs.replace(waiting, image="other", **kind)
    simulation.submit("waiting", waiting)
    simulation.run(1_000)
    small = changed(count=1, uses_leftover_processors=best_effort)
    for number in range(4):
        assert not is_refused(simulation, f"job{number}", small)
        simulation.run(600)


@pytest.mark.parametrize(
    ("step", "error"),
    [
        (LARGE, UnplaceableJobError),
        (changed(required_label="rack9"), UnplaceableJobError),
        (changed(memory_mb=10**6), UnplaceableJobError),
        (changed(accelerators=1), UnplaceableJobError),
        (STEP, None),
    ],
)
@pytest.mark.parametrize("has_workers", [True, False])
def test_jobs_that_no_known_worker_can_hold(
    step: StepSpec, error: type[SardinespoolError] | None, has_workers: bool
) -> None:
    """Guards against accepted jobs that never start.

    A pool of which nothing is known yet refuses nothing.
    """
    simulation = make_simulation()
    if not has_workers:
        simulation.dispatcher.fleet.workers.clear()
    if error is None or not has_workers:
        simulation.submit("job", step)
        return
    with pytest.raises(error) as caught:
        simulation.submit("job", step)
    assert caught.value.http_status == 503
    assert RETRY_MIN_S <= caught.value.details["retry_after_s"] <= RETRY_MAX_S


def test_nothing_is_refused_unless_the_settings_ask_for_it() -> None:
    """Guards against a change of deployments that don't use admission."""
    simulation = make_simulation(admission=False)
    assert not flood(simulation, STEP)
    simulation.submit("large", LARGE)


def test_new_leader_refuses_nothing_at_first() -> None:
    """Guards against refusals by a leader that doesn't know its workers."""
    simulation = make_simulation()
    simulation.submit("wide", changed(count=800))
    simulation.run(1_000)
    assert is_refused(simulation, "new", STEP)
    simulation.lose_leader(100)
    simulation.run(1_000)
    assert not is_refused(simulation, "new", STEP)


def test_job_that_may_be_committed_is_not_refused() -> None:
    """Guards against a refusal of a job whose proposal is under way.

    Its caller would be told that it has not run, and it would run.
    """
    simulation = make_simulation()
    request = SubmitWorkflow(
        host=HOST,
        path=PREFIX + "twice",
        spec=WorkflowSpec(payload="", steps=(STEP,)),
    )
    simulation.service.handle(request, simulation.now())
    flood(simulation, STEP)
    assert is_refused(simulation, "new", STEP)
    assert not is_refused(simulation, "twice", STEP)


def play_pause(admission: bool) -> tuple[int, int, int]:
    """Let 300 callers come at once that try four times more.

    Returns the numbers of accepted jobs, of those that earn something, and of
    those that end in time, by the time since their first try.
    """
    simulation = make_simulation(admission)
    step = changed(count=4)
    tries: collections.Counter[str] = collections.Counter()
    first_ms: dict[str, int] = {}

    def submit(job_id: str) -> None:
        tries[job_id] += 1
        first_ms.setdefault(job_id, simulation.now().unix_ms)
        try:
            simulation.submit(job_id, step)
        except OverloadedError as error:
            if tries[job_id] < 5:
                delay_ms = 1_000 * error.details["retry_after_s"]
                simulation.at(delay_ms, lambda: submit(job_id))

    for number in range(300):
        simulation.at(number % 100, lambda n=number: submit(f"job{n}"))
    simulation.run(60_000)
    ages_ms = [
        item.ended_unix_ms - first_ms[item.job_id]
        for item in simulation.machine.table.workflows.values()
        if item.state == "completed"
    ]
    assert simulation.oracle.violations == []
    earning = sum(age_ms <= 3 * 1_500 for age_ms in ages_ms)
    return len(ages_ms), earning, sum(age_ms <= 1_500 for age_ms in ages_ms)


def test_callers_that_come_at_once_after_a_pause_are_served_on() -> None:
    """Guards against a collapse when all callers return at once.

    At least as many jobs earn something as if all were accepted, and of those
    that are accepted fewer than a quarter as many earn nothing.
    """
    accepted, earning, in_time = play_pause(True)
    everything, earning_before, in_time_before = play_pause(False)
    assert earning >= earning_before
    assert in_time >= in_time_before
    assert accepted - earning <= (everything - earning_before) / 4


def test_returns_are_spread_and_remembered() -> None:
    """Guards against callers that all return together, and against growth."""
    returns = Returns()
    times = collections.Counter(
        returns.refuse(f"job{number}", 500.0, 0) for number in range(300)
    )
    assert set(times) == {1, 2, 3}
    assert max(times.values()) <= 150
    returns.refuse("job0", 9_999.0, 2_000)
    assert returns.age_ms("job0", 5_000) == 5_000
    assert returns.age_ms("job0", 2_000 + REMEMBERED_MS) == 0
    assert returns.age_ms("new", 5_000) == 0
    for number in range(RETURNS_MAX + 10):
        returns.refuse(f"other{number}", 500.0, 6_000)
    assert len(returns) == RETURNS_MAX
    returns.accept(f"other{RETURNS_MAX}")
    assert returns.age_ms(f"other{RETURNS_MAX}", 7_000) == 0
