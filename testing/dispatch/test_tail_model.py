"""Press of filling images, learned from tails."""

import math
import random

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.control_service import ControlService
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import headroom_of
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.tail_model import TailState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.commands import Command
from sardinespool.messages.estimates import RecordEstimates
from sardinespool.observability.metrics import Metrics

TARGET_MS = 18


def report(
    model: TailModel, press: dict[str, float], duration_ms: int
) -> TailState:
    """Let one serving task report beside changing use; return its state."""
    choice = random.Random(3)
    state = TailState()
    use: dict[str, float] = {}
    for now_ms in range(0, duration_ms, 500):
        if now_ms % 1_500 == 0:
            use = {image: choice.choice([0.0, 0.05, 0.1]) for image in press}
        load = 2.6 + 0.9 * math.sin(math.tau * now_ms / 10_000)
        taken = sum(press[image] * share for image, share in use.items())
        tail_ms = round(TARGET_MS / max(0.2, load - taken))
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


def test_pairs_that_press_are_told_from_others() -> None:
    """Guards against harmless images that wait for a trough of load."""
    model = TailModel()
    report(model, {"heavy": 9.0, "light": 0.3}, 60_000)
    assert model.press("web", "heavy") == pytest.approx(9.0, abs=3.0)
    assert model.presses("web", "heavy")
    assert not model.presses("web", "light")
    assert not model.is_untried("web", "light")
    assert model.is_untried("web", "other")


def test_margin_narrows_with_good_forecasts() -> None:
    """Guards against filling that waits though tails are well known."""
    model = TailModel()
    before = model.margin
    report(model, {"heavy": 9.0, "light": 0.3}, 90_000)
    assert model.margin < before


def test_queue_that_empties_tells_nothing_of_the_load() -> None:
    """Guards against a load that seems high for long after one peak."""
    model = TailModel()
    state = report(model, {"light": 0.3}, 40_000)
    key = ("job", 0, 0)
    before = model.headroom(key, "web", state, 45_000)
    for now_ms in range(40_000, 41_500, 500):
        model.observe(key, "web", state, 0.1, TARGET_MS, {}, now_ms)
    after = model.headroom(key, "web", state, 45_000)
    assert after == pytest.approx(before, abs=0.1)


def test_curves_of_ended_steps_are_dropped() -> None:
    """Guards against memory that grows with each job."""
    model = TailModel()
    state = report(model, {"light": 0.3}, 20_000)
    model.forget(set())
    fresh = model.headroom(("job", 0, 0), "web", state, 20_000)
    assert fresh == model.headroom(("job", 1, 0), "web", None, 20_000)


def test_next_leader_begins_with_what_was_learned() -> None:
    """Guards against a leader that tries each pair of images again."""
    model = TailModel()
    report(model, {"heavy": 9.0, "light": 0.3}, 60_000)
    service = leader_with(model)
    command = service.tick(Instant(70_000, 70_000))
    assert [type(item) for item in command] == [RecordEstimates]
    machine = ControlMachine()
    machine.apply(Command(proposed_unix_ms=0, body=command[0]), 1)
    restored = ControlMachine()
    restored.restore(machine.snapshot())
    follower = TailModel()
    follower.restore(restored.estimates, 1_000)
    for image in ("heavy", "light"):
        assert follower.press("web", image) == pytest.approx(
            model.press("web", image), abs=0.01
        )
        assert not follower.is_untried("web", image)


def leader_with(model: TailModel) -> ControlService:
    """Return the service of a leader that learned a model."""
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
