"""Decisions on near places: ``python -m bench.near_replays SEED...``.

Prints the mean outcome of each decision on each load, in virtual time. Names
of loads among the arguments select these alone.
"""

import collections
import dataclasses
import statistics
import sys

import pytest

from sardinespool.dispatch import near_waits
from sardinespool.dispatch.near_place import decide
from sardinespool.dispatch.near_place import NearChoice
from sardinespool.dispatch.near_place import NearVerdict
from sardinespool.workflows.records import StepRecord
from testing.dispatch import test_near_waits as cases
from testing.dispatch.near_load import NearLoad
from testing.dispatch.near_load import NearOutcome
from testing.dispatch.near_load import replay_near

FULL_OF_WISHES = NearLoad("full-wishes", 1.0, wish=0.9)
LOADS = (
    cases.CALM,
    cases.FULL,
    FULL_OF_WISHES,
    cases.HOT,
    cases.MILD,
    cases.SLOW,
    cases.CUT_OFF,
)


def no_wait(choice: NearChoice) -> NearVerdict:
    """Start at once, with a choice of workers as with waits."""
    return NearVerdict.NO_GAIN


def without_contention(choice: NearChoice) -> NearVerdict:
    """Ablation: a contended pool lengthens no wait."""
    return decide(dataclasses.replace(choice, is_contended=False))


class SkippedOffers:
    """Delay scheduling: a step skips ten offers of remote workers."""

    __name__ = "skipped_offers"

    def __init__(self) -> None:
        self._skipped: collections.Counter[object] = collections.Counter()
        self._step: object = None

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Learn of which step a decision is about."""
        original = near_waits.NearWaits.awaits_near

        def awaits_near(
            waits: near_waits.NearWaits, step: StepRecord, *others: object
        ) -> bool:
            self._step = step.workflow, step.key
            return original(waits, step, *others)  # type: ignore[arg-type]

        monkeypatch.setattr(near_waits.NearWaits, "awaits_near", awaits_near)

    def __call__(self, choice: NearChoice) -> NearVerdict:
        """Return whether the step of the last call skips this offer."""
        self._skipped[self._step] += 1
        if self._skipped[self._step] > 10:
            return NearVerdict.LIMIT
        return NearVerdict.WAIT


def without_waited(choice: NearChoice) -> NearVerdict:
    """Ablation: what a task has waited does not count against its gain."""
    waited_ms = 0.0 if choice.waited_ms < 1_750 else choice.waited_ms
    return decide(dataclasses.replace(choice, waited_ms=waited_ms))


def main() -> None:
    """Replay each load with each decision and the given seeds."""
    seeds = [int(item) for item in sys.argv[1:] if item.isdigit()]
    names = set(sys.argv[1:]) & {load.name for load in LOADS}
    fields = [field.name for field in dataclasses.fields(NearOutcome)]
    print("load", "decision", *fields)
    for load in LOADS:
        if names and load.name not in names:
            continue
        for name, other in (
            ("fixed_penalty", None),
            ("no_wait", no_wait),
            ("fixed_wait", cases.fixed_wait),
            ("skipped_offers", SkippedOffers()),
            ("without_slack", cases.without_slack),
            ("without_contention", without_contention),
            ("without_waited", without_waited),
            ("chosen", decide),
        ):
            with pytest.MonkeyPatch.context() as patch:
                if other is not None:
                    patch.setattr(near_waits, "decide", other)
                if isinstance(other, SkippedOffers):
                    other.install(patch)
                outcomes = [
                    replay_near(load, seed, other is not None)
                    for seed in seeds
                ]
            means = (
                statistics.mean(getattr(item, field) for item in outcomes)
                for field in fields
            )
            print(load.name, name, *(f"{mean:.3f}" for mean in means))


if __name__ == "__main__":
    main()
