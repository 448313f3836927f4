"""Rebalancing of best-effort tasks that have been throttled for long."""

from types import SimpleNamespace
from typing import Any

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.rebalancer import Rebalancer
from testing.dispatch.support import add_running
from testing.dispatch.support import best_effort
from testing.dispatch.support import make_worker
from testing.dispatch.support import serving
from testing.dispatch.support import trained_model


class FakeStopper:
    """Collects the tasks of stopped runs."""

    def __init__(self) -> None:
        self.tasks: list[str] = []

    def stop_run(self, worker: Any, run: Any, reason: str) -> None:
        self.tasks.append(run.task_key)


@pytest.mark.parametrize(
    ("other_image", "moves"), [("robust", True), ("web", False)]
)
def test_throttled_run_moves_only_to_a_faster_worker(
    other_image: str, moves: bool
) -> None:
    """Guards against moves that cost a second without a faster run."""
    model = trained_model(
        {("web", "heavy"): 9.0, ("robust", "heavy"): 0.1}, headroom=1.6
    )
    throttled, other = make_worker("a", 64_000), make_worker("b", 64_000)
    add_running(throttled, serving("web"), "s")
    add_running(other, serving(other_image), "t")
    run = add_running(throttled, best_effort("heavy"), "f")
    run.target_pace = 0
    fleet = SimpleNamespace(
        workers={"a": throttled, "b": other},
        accepts_starts=lambda worker, now: True,
    )
    machine = SimpleNamespace(table=SimpleNamespace(ready={}))
    rebalancer = Rebalancer(machine, fleet, BestEffortScorer(model))  # type: ignore[arg-type]
    stopper = FakeStopper()
    for boot_ms in range(20_500, 22_500, 250):
        rebalancer.rebalance(Instant(boot_ms, boot_ms), stopper)
    assert bool(stopper.tasks) == moves
