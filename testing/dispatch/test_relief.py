"""Moves of filling tasks that have been slowed for long."""

from types import SimpleNamespace
from typing import Any

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.filling import Filling
from sardinespool.dispatch.relief import Relief
from testing.dispatch.support import add_running
from testing.dispatch.support import filling
from testing.dispatch.support import make_worker
from testing.dispatch.support import serving
from testing.dispatch.support import taught


class Stops:
    """Collects the runs that were stopped."""

    def __init__(self) -> None:
        self.tasks: list[str] = []

    def stop_run(self, worker: Any, run: Any, reason: str) -> None:
        self.tasks.append(run.task_key)


@pytest.mark.parametrize(
    ("elsewhere", "moves"), [("calm", True), ("web", False)]
)
def test_slowed_run_moves_only_where_it_gets_on(
    elsewhere: str, moves: bool
) -> None:
    """Guards against stops that lose a second and gain nothing."""
    model = taught({("web", "heavy"): 9.0, ("calm", "heavy"): 0.1}, load=1.6)
    slow, other = make_worker("a", 64_000), make_worker("b", 64_000)
    add_running(slow, serving("web"), "s")
    add_running(other, serving(elsewhere), "t")
    run = add_running(slow, filling("heavy"), "f")
    run.pace_wanted = 0
    fleet = SimpleNamespace(
        workers={"a": slow, "b": other},
        takes_starts=lambda worker, now: True,
    )
    machine = SimpleNamespace(table=SimpleNamespace(ready={}))
    relief = Relief(machine, fleet, Filling(model))  # type: ignore[arg-type]
    stops = Stops()
    for boot_ms in range(20_500, 22_500, 250):
        relief.relieve(Instant(boot_ms, boot_ms), stops)
    assert bool(stops.tasks) == moves
