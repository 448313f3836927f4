"""Prints what each decision on near places yields on the replayed loads.

`python -m testing.dispatch.near_figures SEED...`
"""

import dataclasses
import statistics
import sys

import pytest

from sardinespool.dispatch import near_waits
from sardinespool.dispatch.near_place import decide
from sardinespool.dispatch.near_place import NearChoice
from sardinespool.dispatch.near_place import NearVerdict
from testing.dispatch import test_near_waits as cases
from testing.dispatch.near_load import NearLoad
from testing.dispatch.near_load import NearOutcome
from testing.dispatch.near_load import replay_near

FULL_OF_WISHES = NearLoad("full-wishes", 1.0, wish=0.9)
LOADS = (cases.CALM, cases.FULL, FULL_OF_WISHES, cases.HOT, cases.MILD)


def without_waited(choice: NearChoice) -> NearVerdict:
    """Ablation: what a task has waited does not count against its gain."""
    waited_ms = 0.0 if choice.waited_ms < 1_750 else choice.waited_ms
    return decide(dataclasses.replace(choice, waited_ms=waited_ms))


def main() -> None:
    """Replay each load with each decision and the given seeds."""
    seeds = [int(seed) for seed in sys.argv[1:]]
    fields = [field.name for field in dataclasses.fields(NearOutcome)]
    print("load", "decision", *fields)
    for load in LOADS:
        for name, other in (
            ("fixed_penalty", None),
            ("no_wait", cases.no_wait),
            ("fixed_wait", cases.fixed_wait),
            ("skipped_offers", cases.SkippedOffers()),
            ("without_slack", cases.without_slack),
            ("without_contention", cases.without_contention),
            ("without_waited", without_waited),
            ("chosen", decide),
        ):
            with pytest.MonkeyPatch.context() as patch:
                if other is not None:
                    patch.setattr(near_waits, "decide", other)
                if isinstance(other, cases.SkippedOffers):
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
