"""Parameters of the placement policy."""

import dataclasses
from typing import Literal

Part = Literal[
    "interference",
    "usage",
    "throttle",
    "noise-evictions",
    "eviction-budget",
    "quarantine",
    "job-failures",
    "ramp",
    "rack-spread",
    "order",
    "preemption",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Parameters of `PlacementPolicy`.

    Attributes
    ----------
    disabled : frozenset of Part
        Parts that are switched off, to measure the effect of each.
    usage_margin : float
        Factor on observed use in a reservation.
    candidates : int
        Workers compared for one task. 32 covers a whole failure domain of
        current deployments and bounds the cost of a start at the target size.
    placements_per_plan : int
        Maximum number of starts in one plan. 400 at an interval of 500 ms is
        800 starts per second, above the peak of 280 at the target size.
    full_scans_per_plan : int
        Maximum number of searches over all workers in one plan, made for a
        task that fits on none of the sampled candidates.
    prior_excess, prior_weight : float
        Mean of the prior and its weight in samples. The mean is the slowdown
        above 1 that a class causes when it uses its whole host.
    half_life_ms : int
        Age at which a sample has half its weight.
    confidence : float
        Width of the confidence bound in standard errors.
    learning_workers_per_plan : int
        Maximum number of workers whose reports one plan learns from.
    report_lag_ms : int
        Time until reports show the effect of a started or ended task.
    throttle_above, evict_above : float
        Ratios of request latency to its baseline. Above the first, tasks that
        interfere are throttled; above the second, they are evicted once their
        throttle share is at the minimum. Throttles are relaxed while the
        prediction stays below the first.
    throttle_minimum : float
        Smallest throttle share.
    decision_interval_ms : int
        Minimum time between two decisions on one worker. It is longer than
        `report_lag_ms`, so that reports show the effect of the first.
    evictions_per_worker_minute, eviction_burst_share : float
        Refill rate and capacity of the eviction budget, per worker of the
        domain.
    quarantine_jobs : int
        Distinct jobs that have to fail on a worker to quarantine it.
    probe_after_ms : int
        Time after the last failure until a quarantined worker may run one
        probe task.
    job_failure_workers : int
        Distinct workers that a job has to fail on to be failed.
    ramp_ms : int
        Duration of the ramp after a domain returns to service.
    ramp_starts_per_worker_second : float
        Rate of starts at the end of the ramp; it limits starts during the
        ramp only.
    """

    disabled: frozenset[Part] = frozenset()
    usage_margin: float = 1.25
    candidates: int = 32
    placements_per_plan: int = 400
    full_scans_per_plan: int = 16
    prior_excess: float = 0.3
    prior_weight: float = 2.0
    half_life_ms: int = 600_000
    confidence: float = 1.0
    learning_workers_per_plan: int = 128
    report_lag_ms: int = 3_000
    throttle_above: float = 1.5
    evict_above: float = 4.0
    throttle_minimum: float = 0.25
    decision_interval_ms: int = 5_000
    evictions_per_worker_minute: float = 0.5
    eviction_burst_share: float = 0.25
    quarantine_jobs: int = 3
    probe_after_ms: int = 60_000
    job_failure_workers: int = 3
    ramp_ms: int = 10_000
    ramp_starts_per_worker_second: float = 2.0

    def has(self, part: Part) -> bool:
        """Return whether a part of the policy is switched on."""
        return part not in self.disabled
