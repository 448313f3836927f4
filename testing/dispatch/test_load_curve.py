"""Periodic load curves of serving steps."""

import math
import random

import pytest

from sardinespool.dispatch.load_curve import find_period_ms
from sardinespool.dispatch.load_curve import LoadCurve


def make_curve(
    period_ms: int, phase: float, duration_ms: int, noise: float
) -> LoadCurve:
    """Return a curve fitted to about six noisy samples per second."""
    rng = random.Random(period_ms)
    curve = LoadCurve(2.0)
    for at_ms in range(100_000, 100_000 + duration_ms, 170):
        load = math.sin(math.tau * at_ms / period_ms + phase)
        curve.add(2.5 + 0.9 * load + rng.gauss(0.0, noise), 1.0, at_ms)
    return curve


@pytest.mark.parametrize("period_ms", [6_000, 10_000, 14_000])
def test_period_is_found_and_used_in_forecasts(period_ms: int) -> None:
    """Guards against paces that lag behind a periodic load."""
    curves = [
        make_curve(period_ms, phase, 3 * period_ms, 0.2)
        for phase in (0.0, 1.0, 3.0)
    ]
    found = find_period_ms(curves)
    assert found is not None
    assert found == pytest.approx(period_ms, rel=0.02)
    end_ms = 100_000 + 3 * period_ms
    for phase, curve in zip((0.0, 1.0, 3.0), curves, strict=True):
        curve.use_period(found)
        for at_ms in range(end_ms, end_ms + 2_000, 250):
            load = math.sin(math.tau * at_ms / period_ms + phase)
            assert curve.at(at_ms) == pytest.approx(2.5 + 0.9 * load, abs=0.4)


def test_no_period_is_found_in_noise() -> None:
    """Guards against forecasts from a spurious period."""
    rng = random.Random(1)
    curves = []
    for _ in range(3):
        curve = LoadCurve(2.0)
        for at_ms in range(0, 30_000, 250):
            curve.add(rng.gauss(2.0, 0.5), 1.0, at_ms)
        curves.append(curve)
    assert find_period_ms(curves) is None


def test_no_period_is_found_in_a_partial_cycle() -> None:
    """Guards against a spurious short period from a partial cycle."""
    assert find_period_ms([make_curve(14_000, 0.0, 8_000, 0.1)]) is None


def test_trend_is_extrapolated_without_a_period() -> None:
    """Guards against paces that lag behind a rising load at startup."""
    curve = LoadCurve(2.0)
    for at_ms in range(0, 4_000, 250):
        curve.add(3.0 - at_ms / 4_000, 1.0, at_ms)
    assert curve.at(4_500) < curve.at(4_000) < 2.2
    assert curve.at(60_000) > 1.0


def test_curve_without_samples_returns_the_prior() -> None:
    """Guards against a step that counts as idle before its first report."""
    curve = LoadCurve(2.2)
    curve.use_period(10_000)
    assert curve.at(5_000) == pytest.approx(2.2)
