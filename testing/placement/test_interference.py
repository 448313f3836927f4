"""Learned interference, throttles and estimates."""

import random

import pytest

from sardinespool.messages.tasks import SchedulingView
from sardinespool.placement.estimates import MAXIMUM_KEYS
from sardinespool.placement.estimates import ShrunkenMeans
from sardinespool.placement.plan import Plan
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.placement.settings import PolicySettings
from testing.placement.views import job
from testing.placement.views import NOW_UNIX_MS
from testing.placement.views import queued
from testing.placement.views import running
from testing.placement.views import view
from testing.placement.views import worker

SETTINGS = PolicySettings(disabled=frozenset({"ramp"}))


def noisy_view(second: int, noise: float, extra: bool) -> SchedulingView:
    """Half of the counter workers has a loud neighbour, half a quiet one."""
    rng = random.Random(second)
    workers = []
    tasks = []
    for number in range(8):
        loud = number % 2 == 0
        latency_ms = 10.0 * (noise if loud else 1.0)
        workers.append(
            worker(
                f"w{number}",
                services=("counter",),
                request_latency_p99_ms=latency_ms * rng.uniform(0.95, 1.05),
            )
        )
        name = "loud" if loud else "quiet"
        of = job(
            f"{name}{number}", task_class=name, processors_millicores=2000
        )
        tasks.append(running(of, f"w{number}"))
    if extra:
        workers.append(worker("plain"))
        for name in ("loud", "quiet"):
            of = job(f"new-{name}", task_class=name)
            tasks.append(queued(of))
    return view(workers, tasks, unix_ms=NOW_UNIX_MS + 1000 * second)


def learned_plan(noise: float, extra: bool, settings: PolicySettings) -> Plan:
    policy = PlacementPolicy(settings, 1)
    for second in range(40):
        policy.plan(noisy_view(second, noise, extra=False))
    return policy.plan(noisy_view(45, noise, extra))


def test_loud_class_is_kept_away_from_the_service() -> None:
    """Guards against placement by free capacity alone."""
    plan = learned_plan(1.4, True, SETTINGS)
    where = {p.task_id: p.worker_id for p in plan.placements}
    assert where["new-loud/0"] == "plain"


@pytest.mark.parametrize(
    ("noise", "throttled"),
    [
        pytest.param(1.1, set(), id="little noise is left alone"),
        pytest.param(
            3.0,
            {"loud0/0", "loud2/0", "loud4/0", "loud6/0"},
            id="the loud ones only",
        ),
    ],
)
def test_disturbing_tasks_are_throttled_and_not_evicted(
    noise: float, throttled: set[str]
) -> None:
    """Guards against evictions where a throttle may do."""
    plan = learned_plan(noise, False, SETTINGS)
    assert {t.task_id for t in plan.throttles} == throttled
    assert plan.evictions == ()


def _one_loud_worker(share: float, latency_ms: float) -> SchedulingView:
    workers = [
        worker(
            f"w{n}",
            services=("counter",),
            request_latency_p99_ms=latency_ms if n == 0 else 10.0,
        )
        for n in range(8)
    ]
    of = job("loud", task_class="loud", processors_millicores=4000)
    return view(workers, [running(of, "w0", throttle_share=share)])


@pytest.mark.parametrize(
    ("share", "latency_ms", "throttles", "evictions"),
    [
        pytest.param(0.25, 60.0, 0, 1, id="throttled to the minimum"),
        pytest.param(1.0, 60.0, 1, 0, id="not throttled yet"),
        pytest.param(0.25, 25.0, 0, 0, id="below the eviction limit"),
        pytest.param(0.25, 10.0, 1, 0, id="released when quiet"),
    ],
)
def test_throttle_comes_before_checkpoint(
    share: float, latency_ms: float, throttles: int, evictions: int
) -> None:
    """Guards against evicting first, and against throttles that stay."""
    settings = PolicySettings(disabled=frozenset({"ramp", "interference"}))
    policy = PlacementPolicy(settings, 1)
    plan = policy.plan(_one_loud_worker(share, latency_ms))
    assert (len(plan.throttles), len(plan.evictions)) == (throttles, evictions)


def test_estimate_shrinks_decays_and_bounds() -> None:
    """Guards against one report that decides, and against old ones."""
    estimates = ShrunkenMeans[str](0.3, 0.3, 2.0, 1000, 1.0)
    assert estimates.mean("k") == 0.3
    estimates.add("k", 6.3, 1.0, 0)
    assert estimates.mean("k") == pytest.approx(2.3)
    assert estimates.lower("k") < 2.3 < estimates.upper("k")
    for _ in range(500):
        estimates.add("k", 6.3, 1.0, 0)
    assert estimates.upper("k") - estimates.lower("k") < 0.5
    estimates.add("k", 1.0, 1.0, 20_000)
    estimates.add("k", 1.0, 1.0, 20_000)
    assert estimates.mean("k") < 4.0


def test_estimates_are_bounded_in_number() -> None:
    """Guards against memory that grows with every new class."""
    estimates = ShrunkenMeans[int](0.3, 0.3, 2.0, 1000, 1.0)
    for number in range(MAXIMUM_KEYS + 10):
        estimates.add(number, 1.0, 1.0, number)
    assert len(estimates.keys()) <= MAXIMUM_KEYS
    assert estimates.mean(MAXIMUM_KEYS + 9) > 0.3


def test_throttle_is_released_when_a_worker_serves_no_longer() -> None:
    """Guards against a share that stays low for the rest of a task's run."""
    of = job("loud", task_class="loud")
    seen = view([worker("w")], [running(of, "w", throttle_share=0.25)])
    plan = PlacementPolicy(SETTINGS, 1).plan(seen)
    assert [t.share for t in plan.throttles] == [1.0]
