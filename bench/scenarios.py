"""Deployments and scenarios of the measurement."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Workers of one deployment, spread over its failure domains."""

    name: str
    failure_domains: tuple[str, ...]
    worker_count: int
    processors_millicores: int
    memory_mb: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One pattern of load and faults.

    `load` is the offered batch work as a share of all processors. Under
    `cache_heavy` one class disturbs as much when it is throttled.
    """

    name: str
    load: float
    noise_waves: bool = False
    declaration_error: float = 1.0
    black_holes: int = 0
    broken_jobs: float = 0.0
    cancellation_wave: bool = False
    domain_leaves: bool = False
    cache_heavy: bool = False


SHAPES = (
    Shape("bakery", ("centro", "norte", "sur"), 24, 64_000, 250_000),
    Shape(
        "lillekoda",
        ("tallinn-1", "tallinn-2", "tartu", "parnu"),
        34,
        16_000,
        62_000,
    ),
)

SCENARIOS = (
    Scenario("steady 50%", 0.50),
    Scenario("steady 80%", 0.80),
    Scenario("steady 95%", 0.95),
    Scenario("noise waves", 0.60, noise_waves=True),
    Scenario("cache-heavy noise", 0.60, noise_waves=True, cache_heavy=True),
    Scenario("declarations off by 10", 0.50, declaration_error=10.0),
    Scenario("black holes", 0.60, black_holes=2, broken_jobs=0.03),
    Scenario("cancellation wave", 0.70, cancellation_wave=True),
    Scenario("domain leaves", 0.70, domain_leaves=True),
)
