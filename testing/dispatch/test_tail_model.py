"""Interference of best-effort images, learned from tail latencies."""

import math
import random

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.control_service import ControlService
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import headroom_of
from sardinespool.dispatch.tail_model import TailHistory
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.commands import Command
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.observability.metrics import Metrics

TARGET_MS = 18


def train(
    model: TailModel, interference: dict[str, float], duration_ms: int
) -> TailHistory:
    """Feed reports of one serving task under varying interference.

    Returns
    -------
    history : TailHistory
        State of the reporting task.
    """
    rng = random.Random(3)
    state = TailHistory()
    use: dict[str, float] = {}
    for now_ms in range(0, duration_ms, 500):
        if now_ms % 1_500 == 0:
            use = {
                image: rng.choice([0.0, 0.05, 0.1]) for image in interference
            }
        headroom = 2.6 + 0.9 * math.sin(math.tau * now_ms / 10_000)
        total_interference = sum(
            interference[image] * share for image, share in use.items()
        )
        tail_ms = round(TARGET_MS / max(0.2, headroom - total_interference))
        model.observe(
            ("job", 0, 0),
            "web",
            state,
            headroom_of(TARGET_MS, tail_ms),
            TARGET_MS,
            use,
            now_ms,
        )
    return state


def test_interfering_pairs_are_distinguished() -> None:
    """Guards against harmless images that are held back until load is low."""
    model = TailModel()
    train(model, {"heavy": 9.0, "light": 0.3}, 60_000)
    assert model.interference("web", "heavy") == pytest.approx(9.0, abs=3.0)
    assert model.interferes("web", "heavy")
    assert not model.interferes("web", "light")
    assert not model.is_uncertain("web", "light")
    assert model.is_uncertain("web", "other")


def test_margin_shrinks_with_accurate_forecasts() -> None:
    """Guards against idle processors despite precise forecasts."""
    model = TailModel()
    before = model.margin
    train(model, {"heavy": 9.0, "light": 0.3}, 90_000)
    assert model.margin < before


def test_saturated_reports_leave_the_load_curve_unchanged() -> None:
    """Guards against an overestimated load long after a single peak."""
    model = TailModel()
    state = train(model, {"light": 0.3}, 40_000)
    key = ("job", 0, 0)
    before = model.headroom(key, "web", state, 45_000)
    for now_ms in range(40_000, 41_500, 500):
        model.observe(key, "web", state, 0.1, TARGET_MS, {}, now_ms)
    after = model.headroom(key, "web", state, 45_000)
    assert after == pytest.approx(before, abs=0.1)


def test_curves_of_ended_steps_are_dropped() -> None:
    """Guards against memory that grows with each job."""
    model = TailModel()
    state = train(model, {"light": 0.3}, 20_000)
    model.retain_curves(set())
    fresh = model.headroom(("job", 0, 0), "web", state, 20_000)
    assert fresh == model.headroom(("job", 1, 0), "web", None, 20_000)


def test_next_leader_restores_the_estimates() -> None:
    """Guards against a new leader that measures each pair of images again."""
    model = TailModel()
    train(model, {"heavy": 9.0, "light": 0.3}, 60_000)
    service = make_leader(model)
    command = service.tick(Instant(70_000, 70_000))
    assert [type(item) for item in command] == [RecordEstimates]
    machine = ControlMachine()
    machine.apply(Command(proposed_unix_ms=0, body=command[0]), 1)
    restored = ControlMachine()
    restored.restore(machine.snapshot())
    follower = TailModel()
    follower.restore(restored.estimates, 1_000)
    for image in ("heavy", "light"):
        assert follower.interference("web", image) == pytest.approx(
            model.interference("web", image), abs=0.01
        )
        assert not follower.is_uncertain("web", image)


def make_leader(model: TailModel) -> ControlService:
    """Return the service of a leader that loaded the model's estimates."""
    machine = ControlMachine()
    dispatcher = Dispatcher(
        machine,
        DispatchSettings(),
        lambda worker_id: None,
        DispatchMetrics(Metrics("controller", "a")),
    )
    machine.estimates = model.estimates()
    dispatcher.begin(1, Instant(60_000, 60_000))
    machine.estimates = None
    return ControlService(machine, dispatcher, lambda: pytest.fail("unused"))
