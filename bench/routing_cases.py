"""Cases of the routing measurement by part."""

import dataclasses
from collections.abc import Callable

from bench import routing_choice
from bench import routing_detection
from bench import routing_overload
from bench import routing_sharing

Figures = dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One row of a table: `run` with `arguments` and a seed."""

    table: str
    labels: tuple[str, ...]
    run: Callable[..., Figures]
    arguments: tuple[object, ...]


def sharing() -> list[Case]:
    """Return the cases of sharing slots under a steady load."""
    cases = []
    for size, count in routing_sharing.SIZES.items():
        for load in routing_sharing.LOADS:
            if count == 24 and load < 0.9:
                continue
            for skew, weights in routing_sharing.SKEWS.items():
                for way in routing_sharing.SHARINGS:
                    # The pool does not depend on the entries' shares.
                    if way != "pool" or skew == "balanced":
                        cases.append(
                            Case(
                                size,
                                (f"{load:.0%}", skew, way),
                                routing_sharing.run_steady,
                                (count, load, weights, way),
                            )
                        )
    return cases


def death() -> list[Case]:
    """Return the cases of the death of an entry."""
    return [
        Case(
            "Lillekoda, 9 endpoints, one of three entries dies",
            (f"{load:.0%}", way),
            routing_sharing.run_death,
            (9, load, way),
        )
        for load in (0.5, 0.8)
        for way in routing_sharing.SHARINGS
    ]


def choice() -> list[Case]:
    """Return the cases of the endpoint choice."""
    return [
        Case(scenario, (variant,), routing_choice.run, (scenario, variant))
        for scenario, ablations in routing_choice.ABLATIONS.items()
        for variant in (*routing_choice.RULES, *ablations)
    ]


def overload() -> list[Case]:
    """Return the cases of admission and overload."""
    cases = [
        Case(
            "Overload, deadlines of 150 to 600 ms",
            (f"{load:.0%}", f"{name}, queue of {length}"),
            routing_overload.run_admission,
            (load, name, length),
        )
        for load in routing_overload.OVERLOADS
        for name, length in routing_overload.ADMISSIONS
    ]
    cases += [
        Case(
            "A heavy user (10 of 11 requests) and a light one, load 150%",
            ("per-user turns" if fair else "arrival order",),
            routing_overload.run_users,
            (fair,),
        )
        for fair in (True, False)
    ]
    cases += [
        Case(
            "Latency-critical beside batch, deadlines of 2 s",
            (f"{critical:.0%} critical, {batch:.0%} batch",),
            routing_overload.run_kinds,
            (critical, batch),
        )
        for critical, batch in routing_overload.MIXES
    ]
    return cases


def detection() -> list[Case]:
    """Return the cases of detection; their figures are by detector."""
    cases = [
        Case("false alarms", (), routing_detection.run_shifts, ()),
    ]
    cases += [
        Case(f"{factor:g}x", (), routing_detection.run_slow, (factor,))
        for factor in routing_detection.FACTORS
    ]
    return cases


PARTS: dict[str, Callable[[], list[Case]]] = {
    "sharing": sharing,
    "death": death,
    "choice": choice,
    "overload": overload,
    "detection": detection,
}
