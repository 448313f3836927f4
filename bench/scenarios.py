"""Deployments and scenarios of the placement benchmark."""

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
    """Pattern of load and faults.

    Attributes
    ----------
    load : float
        Offered batch work as a share of all processors.
    noise_waves : bool
        Whether a few classes in turn make up most arrivals.
    declaration_error : float
        Largest factor between declared and true resource use.
    black_holes : int
        Workers on which every task fails at once.
    broken_jobs : float
        Share of the jobs whose tasks fail on every worker.
    cancellation_wave : bool
        Whether many jobs are cancelled at the same time.
    domain_leaves : bool
        Whether one failure domain is out of service for a while.
    cache_heavy : bool
        Whether throttling one class doesn't reduce its interference.
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
