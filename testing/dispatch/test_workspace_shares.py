"""Order of the workspaces when the workers are full, and when they are not."""

import functools
import json
import random
import statistics
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator

import msgspec
import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.placement_order import PlacementOrder
from sardinespool.dispatch.share_order import ShareOrder
from sardinespool.dispatch.start_limits import StartLimits
from sardinespool.dispatch.step_priority import congested_queues
from sardinespool.dispatch.step_priority import first_round_size
from sardinespool.dispatch.step_priority import step_priority
from sardinespool.dispatch.workspace_log import LABELS_MAX
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.messages.dump import DumpState
from sardinespool.messages.dump import StateDump
from sardinespool.messages.workflows import StepSpec
from sardinespool.observability.metrics import Metrics
from sardinespool.workflows.records import StepRecord
from sardinespool.workspaces.shares import Group
from sardinespool.workspaces.shares import JobQuotas
from sardinespool.workspaces.shares import Rank
from testing.dispatch.flood import FLOODER
from testing.dispatch.flood import replay_flood
from testing.dispatch.flood import WEIGHTS
from testing.dispatch.flood import WORKERS
from testing.dispatch.workspace_simulation import workspace
from testing.dispatch.workspace_simulation import WorkspaceSimulation

WIDE, NARROW = (12.0, 2), (16.0, 1)
"""Factor of the flood, and tasks in a step of the other workspaces."""


def by_priority(patch: pytest.MonkeyPatch) -> None:
    """Order the steps of all workspaces as one, the earlier policy."""
    patch.setattr(ShareOrder, "begin_pass", lambda *_: None)


def without_excess(patch: pytest.MonkeyPatch) -> None:
    """Ablation: jobs above the quota are like others."""

    def group_of(order: ShareOrder, step: StepRecord) -> Group:
        return Rank.NEW, step.workflow.workspace if order.applies else ""

    patch.setattr(ShareOrder, "group_of", group_of)


def strict_shares(patch: pytest.MonkeyPatch) -> None:
    """Give no workspace more than its share, also if others leave theirs."""

    def may_start(limits: StartLimits, step: StepRecord) -> bool:
        name = step.workflow.workspace
        used = limits.usage.of(name).processors_millicores
        share = WORKERS * 4_000 * WEIGHTS[name] / sum(WEIGHTS.values())
        return used + step.spec.processors_millicores <= share

    patch.setattr(StartLimits, "may_start", may_start)


def of_others(jobs: frozenset[str]) -> frozenset[str]:
    return frozenset(job for job in jobs if not job.startswith(FLOODER))


@functools.cache
def replay_calm(width: int, seed: int) -> frozenset[str]:
    """Return the others' jobs in time without the flood, ordered as before."""
    with pytest.MonkeyPatch.context() as patch:
        by_priority(patch)
        return of_others(replay_flood(1.0, seed, width))


def lost_share(pattern: tuple[float, int], *seeds: int) -> float:
    """Return which share of the others' jobs in time a flood costs."""
    factor, width = pattern
    lost = []
    for seed in seeds:
        calm = replay_calm(width, seed)
        flooded = replay_flood(factor, seed, width)
        lost.append(1 - len(flooded & calm) / len(calm))
    return statistics.mean(lost)


@pytest.mark.parametrize("pattern", [WIDE, NARROW])
def test_a_flood_costs_the_other_workspaces_little(
    pattern: tuple[float, int],
) -> None:
    """Guards against a workspace that takes the room of all others."""
    assert lost_share(pattern, 1, 2, 3) < 0.03


@pytest.mark.parametrize(
    ("policy", "lost_min"),
    [(by_priority, 0.3), (without_excess, 0.03), (strict_shares, 0.1)],
)
def test_other_policies_cost_more(
    monkeypatch: pytest.MonkeyPatch,
    policy: Callable[..., None],
    lost_min: float,
) -> None:
    """Guards against parts of the order that no longer pay."""
    policy(monkeypatch)
    assert lost_share(WIDE, 1) > lost_min


def test_quota_allows_a_cluster_and_then_its_rate() -> None:
    """Guards against jobs within the quota that come after all others."""
    quotas = JobQuotas()
    allowed = [not quotas.exceeds("a", 2, 1_000) for _ in range(60)]
    assert allowed == [True] * 30 + [False] * 30
    later = [not quotas.exceeds("a", 2, 2_000) for _ in range(4)]
    assert later == [True, True, False, False]
    assert not quotas.exceeds("b", 1_000_000_000, 2_000)
    quotas.retain(("b",))
    assert not quotas.exceeds("a", 2, 2_000)


@pytest.mark.parametrize(
    ("weight", "now_ms"),
    [
        # The next leader's wall clock is an hour behind.
        (2, 10_000_000 - 3_600_000),
        # A manifest raises the weight.
        (1_000, 10_000_000),
    ],
)
def test_quota_recovers_from_a_clock_ahead_and_a_low_weight(
    weight: int, now_ms: int
) -> None:
    """Guards against jobs in excess until an earlier time has come."""
    quotas = JobQuotas()
    assert any(quotas.exceeds("a", 2, 10_000_000) for _ in range(60))
    quotas.exceeds("a", weight, now_ms)
    assert not quotas.exceeds("a", weight, now_ms + 1_000)


def starts_of(
    names: tuple[str, ...], workers: int, workspaces: bool
) -> list[str]:
    """Return the tasks in the order of their starts."""
    simulation = WorkspaceSimulation(5, workers)
    started: list[str] = []
    record = simulation.oracle.started

    def started_on(task: str, worker: str, sent_ms: int | None = None) -> None:
        started.append(f"{task}@{worker}")
        record(task, worker, sent_ms)

    simulation.oracle.started = started_on  # type: ignore[method-assign]
    if workspaces:
        simulation.publish(*map(workspace, "ab"))
    simulation.run(1_500)
    for position in range(12):
        spec = StepSpec(
            count=1 + position % 3,
            processors_millicores=1_000,
            memory_mb=1,
            expected_run_ms=100 * (position % 5),
            long_running=position % 4 == 0,
        )
        name = names[position % len(names)]
        simulation.submit_to(name, f"job{position:02d}", spec)
    simulation.run(8_000)
    return started


@pytest.mark.parametrize(
    ("names", "workers", "is_same"),
    [(("a", "b"), 8, True), (("",), 2, True), (("a", "a", "b"), 2, False)],
)
def test_order_changes_only_where_workspaces_compete(
    names: tuple[str, ...], workers: int, is_same: bool
) -> None:
    """Guards against another order where there is room for all."""
    before = starts_of(names, workers, workspaces=False)
    assert (starts_of(names, workers, workspaces=True) == before) is is_same


def test_order_without_workspaces_is_that_of_the_priorities(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a change for deployments without workspaces."""
    original = PlacementOrder.steps
    passes = []

    def steps(
        order: PlacementOrder, ready: Collection[StepRecord], now: Instant
    ) -> Iterator[tuple[StepRecord, int]]:
        found = list(original(order, ready, now))
        queues = [
            (step, order._machine.current_queue(step.workflow))
            for step, _ in found
        ]
        congested = congested_queues(queues, now.unix_ms)
        keys = [
            step_priority(
                step,
                queue,
                now.unix_ms,
                int(tasks_max > first_round_size(step)),
                order.is_overdue(step, now),
                queue.name in congested,
            )
            for (step, queue), (_, tasks_max) in zip(
                queues, found, strict=True
            )
        ]
        assert keys == sorted(keys)
        passes.append(len(found))
        yield from found

    monkeypatch.setattr(PlacementOrder, "steps", steps)
    starts_of(("a", "b"), 2, workspaces=False)
    assert max(passes) > 5


@pytest.mark.parametrize("need_millicores", [1_000, 3_500])
def test_lasting_task_starts_in_a_workspace_at_its_limit(
    need_millicores: int,
) -> None:
    """Guards against short tasks that always take what becomes free."""
    simulation = WorkspaceSimulation(7, workers=6)
    simulation.publish(workspace("a", 4_000))
    simulation.run(1_500)
    short = StepSpec(
        count=400, processors_millicores=500, memory_mb=1, expected_run_ms=700
    )
    simulation.submit_to("a", "short", short)
    simulation.run(2_000)
    lasting = StepSpec(
        count=1,
        processors_millicores=need_millicores,
        memory_mb=1,
        long_running=True,
    )
    simulation.submit_to("a", "lasting", lasting)
    simulation.run(5_500)
    (step,) = simulation.machine.table.workflows["lasting"].occurrences[0]
    assert step.tasks[0].run
    assert simulation.oracle.excesses == []


def test_short_tasks_start_beside_a_lasting_one_that_can_not() -> None:
    """Guards against a workspace whose short jobs are held back for ever."""
    simulation = WorkspaceSimulation(7, workers=6)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: 600_000
    simulation.publish(workspace("a", 4_000))
    simulation.run(1_500)
    lasting = StepSpec(
        count=1, processors_millicores=2_500, memory_mb=1, long_running=True
    )
    for name in ("first", "second"):
        simulation.submit_to("a", name, lasting)
        simulation.run(5_500)
    simulation.submit_to(
        "a", "short", StepSpec(count=1, processors_millicores=500, memory_mb=1)
    )
    simulation.run(2_500)
    (step,) = simulation.machine.table.workflows["short"].occurrences[0]
    assert step.tasks[0].run
    assert simulation.oracle.excesses == []


@pytest.mark.parametrize("run_ms", [(700, 700), (200, 1_200)])
def test_wide_job_that_has_begun_starves_no_other_workspace(
    run_ms: tuple[int, int],
) -> None:
    """Guards against a begun job that takes all room until it ends.

    Its tasks end together, or at different times.
    """
    simulation = WorkspaceSimulation(7, workers=6)
    draw = random.Random(1)
    for worker in simulation.workers.values():
        worker.failure_ratio = 0.0
        worker.run_time_ms = lambda task: draw.randint(*run_ms)
    simulation.publish(*map(workspace, "ab"))
    simulation.run(1_500)
    wide = StepSpec(
        count=2_000,
        processors_millicores=500,
        memory_mb=1,
        expected_run_ms=700,
    )
    simulation.submit_to("a", "wide", wide)
    simulation.run(2_000)
    narrow = msgspec.structs.replace(wide, count=1)
    simulation.submit_to("b", "narrow", narrow)
    simulation.run(1_500)
    (step,) = simulation.machine.table.workflows["narrow"].occurrences[0]
    assert step.tasks[0].run
    # The share that the other workspace does not ask for is lent.
    (step,) = simulation.machine.table.workflows["wide"].occurrences[0]
    begun = step.spec.count - len(step.waiting)
    simulation.run(5_000)
    assert step.spec.count - len(step.waiting) > begun + 100


def test_operators_see_which_workspace_is_held_back() -> None:
    """Guards against jobs that wait for a limit or share unexplained."""
    simulation = WorkspaceSimulation(3, workers=2)
    simulation.publish(workspace("a", 2_000), workspace("b", weight=3))
    simulation.run(1_500)
    metrics = Metrics("controller", "a")
    planner = simulation.dispatcher.planner
    spec = StepSpec(count=30, processors_millicores=500, memory_mb=1)
    for name in "ab":
        simulation.submit_to(name, f"job{name}", spec)
    simulation.run(300)
    outcome = simulation.service.handle(DumpState(), simulation.now())
    assert isinstance(outcome, ImmediateReply)
    assert isinstance(outcome.reply, StateDump)
    shown = json.loads(outcome.reply.json)["workspaces"]
    assert shown["a"]["waits_for_limit_steps"] == 1
    assert 0 < shown["a"]["processors_millicores"] <= 2_000
    assert shown["a"]["processors_millicores_max"] == 2_000
    assert shown["b"]["waits_for_limit_steps"] == 0
    assert shown["b"]["waits_for_share_steps"] == 1
    planner.workspace_log._metrics_due_boot_ms = 0
    planner.workspace_log._started = [(f"w{n}", "limit") for n in range(300)]
    planner.write_metrics(DispatchMetrics(metrics), simulation.now())
    text = metrics.render().decode()
    assert "workspace_millicores{" in text
    assert 'workspace="other"' in text
    assert text.count("workspace_holds_total{") <= LABELS_MAX + 1
