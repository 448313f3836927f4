"""Cases of the routing benchmark, by part."""

import dataclasses
from collections.abc import Callable

from bench import routing_choice
from bench import routing_detection
from bench import routing_overload
from bench import routing_sharing

Figures = dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Row of a result table, made by `run` with `arguments` and a seed."""

    table: str
    labels: tuple[str, ...]
    run: Callable[..., Figures]
    arguments: tuple[object, ...]


def sharing() -> list[Case]:
    """Return the cases of slot sharing under a constant load."""
    cases = []
    for size, count in routing_sharing.SIZES.items():
        for load in routing_sharing.LOADS:
            if count == 24 and load < 0.9:
                continue
            for skew_name, weights in routing_sharing.SKEWS.items():
                for mode in routing_sharing.SHARINGS:
                    # Entries of a pool share a router, so skew has no effect.
                    if mode != "pool" or skew_name == "balanced":
                        cases.append(
                            Case(
                                size,
                                (f"{load:.0%}", skew_name, mode),
                                routing_sharing.run_steady,
                                (count, load, weights, mode),
                            )
                        )
    return cases


def entry_crash() -> list[Case]:
    """Return the cases of a crash of an entry."""
    return [
        Case(
            "Lillekoda, 9 endpoints, one of three entries crashes",
            (f"{load:.0%}", mode),
            routing_sharing.run_entry_crash,
            (9, load, mode),
        )
        for load in (0.5, 0.8)
        for mode in routing_sharing.SHARINGS
    ]


def choice() -> list[Case]:
    """Return the cases of endpoint selection."""
    return [
        Case(scenario, (variant,), routing_choice.run, (scenario, variant))
        for scenario, ablations in routing_choice.ABLATIONS.items()
        for variant in (*routing_choice.RULES, *ablations)
    ]


def overload() -> list[Case]:
    """Return the cases of admission control and overload."""
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
            ("per-user round robin" if fair else "arrival order",),
            routing_overload.run_users,
            (fair,),
        )
        for fair in (True, False)
    ]
    cases += [
        Case(
            "Latency-critical beside batch, deadlines of 2 s",
            (f"{critical_load:.0%} critical, {batch_load:.0%} batch",),
            routing_overload.run_service_kinds,
            (critical_load, batch_load),
        )
        for critical_load, batch_load in routing_overload.LOAD_MIXES
    ]
    return cases


def detection() -> list[Case]:
    """Return the cases of slow-endpoint detection.

    Their figures are keyed by the detector's name.
    """
    cases = [
        Case("false alarms", (), routing_detection.run_load_shifts, ()),
    ]
    cases += [
        Case(f"{factor:g}x", (), routing_detection.run_slow, (factor,))
        for factor in routing_detection.FACTORS
    ]
    return cases


PARTS: dict[str, Callable[[], list[Case]]] = {
    "sharing": sharing,
    "death": entry_crash,
    "choice": choice,
    "overload": overload,
    "detection": detection,
}
