"""Pace of best-effort tasks on one worker."""

import msgspec
import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.pace_controller import PaceController
from sardinespool.dispatch.tail_model import headroom_of
from testing.dispatch.support import add_running
from testing.dispatch.support import best_effort
from testing.dispatch.support import make_worker
from testing.dispatch.support import serving
from testing.dispatch.support import TARGET_MS
from testing.dispatch.support import trained_model

INTERFERENCE = 9.0
STANDALONE_HEADROOM = 2.6
NOW = Instant(20_500, 20_500)


@pytest.mark.parametrize("tail_ms", [20, 90], ids=["above", "far above"])
def test_interfering_runs_are_throttled_above_the_target(tail_ms: int) -> None:
    """Guards against a serving task that stays above its target."""
    model = trained_model({("web", "heavy"): INTERFERENCE})
    worker = make_worker("w", 64_000)
    add_running(worker, serving("web"), "s").load = tail_ms
    runs = [
        add_running(worker, best_effort("heavy"), f"f{number}", number)
        for number in range(3)
    ]
    for run in runs:
        run.load = 6_400
    PaceController(model).update_paces(worker, NOW)
    # Interference of all runs, and the number of runs that may remain.
    interference = STANDALONE_HEADROOM - headroom_of(TARGET_MS, tail_ms)
    allowed_runs = len(runs) * (STANDALONE_HEADROOM - 1.0) / interference
    assert sum(run.target_pace for run in runs) <= 100 * allowed_runs


def test_earlier_runs_get_pace_first() -> None:
    """Guards against throttling all runs instead of the latest ones."""
    model = trained_model({("web", "heavy"): 9.0})
    worker = make_worker("w", 64_000)
    add_running(worker, serving("web"), "s").load = 7
    late = add_running(worker, best_effort("heavy"), "late", 200)
    early = add_running(worker, best_effort("heavy"), "early", 100)
    third = add_running(worker, best_effort("heavy"), "third", 300)
    for run in (early, late, third):
        # The runs are too young for their measured use to count.
        run.load = 0
        run.ordered_boot_ms += 20_000
    PaceController(model).update_paces(worker, NOW)
    assert early.target_pace == 100
    assert early.target_pace >= late.target_pace >= third.target_pace
    assert third.target_pace < 100


def test_harmless_runs_get_pace_before_interfering_ones() -> None:
    """Guards against harmless runs that a later load peak suspends."""
    model = trained_model({("web", "heavy"): 9.0, ("web", "light"): 0.1})
    worker = make_worker("w", 64_000)
    add_running(worker, serving("web"), "s").load = 13
    heavy = add_running(worker, best_effort("heavy"), "heavy", 100)
    light = add_running(worker, best_effort("light"), "light", 200)
    PaceController(model).update_paces(worker, NOW)
    assert light.target_pace == 100
    assert heavy.target_pace < 100


def test_run_without_processor_use_keeps_full_pace() -> None:
    """Guards against a division by the zero use of a run."""
    model = trained_model({("web", "heavy"): 9.0})
    worker = make_worker("w", 64_000)
    add_running(worker, serving("web"), "s").load = 9
    run = add_running(worker, best_effort("heavy"), "f")
    run.load = 0
    PaceController(model).update_paces(worker, NOW)
    assert run.target_pace == 100


@pytest.mark.parametrize("capacity_millicores", [0, 6_400, 16_000])
def test_shrunk_capacity_leaves_the_learned_interference(
    capacity_millicores: int,
) -> None:
    """Guards against estimates that are spoilt while a capacity is small.

    What runs above the capacity goes on, and disturbs as before.
    """
    model = trained_model({("web", "heavy"): INTERFERENCE})
    learned = model.interference("web", "heavy")
    worker = make_worker("w", 64_000)
    serving_run = add_running(worker, serving("web"), "s")
    run = add_running(worker, best_effort("heavy"), "f")
    run.load = 6_400
    use = run.load / 64_000
    headroom = STANDALONE_HEADROOM - INTERFERENCE * use
    serving_run.load = round(TARGET_MS / headroom)
    worker.update_description(
        msgspec.structs.replace(
            worker.description, processors_millicores=capacity_millicores
        )
    )
    controller = PaceController(model)
    for number in range(20):
        controller.update_paces(worker, NOW.after(500 * number))
    assert model.interference("web", "heavy") == pytest.approx(
        learned, rel=0.1
    )
