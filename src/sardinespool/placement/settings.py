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
        Parts that are switched off, for measurements of what each brings.
    usage_margin : float
        A reservation covers observed use times this factor.
    candidates : int
        Workers compared for one task. 32 covers a whole failure domain of
        today's users and bounds the cost of one start at the target size.
    placements_per_plan : int
        Starts of one plan. 400 at a 500 ms interval is 800 starts a second,
        above the target's peak of 280.
    full_scans_per_plan : int
        Times that a plan may look at every worker for one task, after the
        sampled candidates had no room.
    prior_excess, prior_weight : float
        Mean and weight in samples that estimates shrink towards. The mean is
        the slowdown above 1 by a class that fills its whole host.
    half_life_ms : int
        Age at which a sample counts half.
    confidence : float
        Width of the confidence bound in standard errors.
    learning_workers_per_plan : int
        Workers whose reports one plan learns from.
    report_lag_ms : int
        Time that a change of neighbours takes to show in reports.
    throttle_above, evict_above : float
        Ratios of request latency to its baseline. Noise above the first is
        throttled, above the second evicted once the throttle is at its
        minimum. Throttles are released while the prediction stays below the
        first.
    throttle_minimum : float
        Smallest throttle share.
    decision_interval_ms : int
        Pause between two throttle decisions on one worker, longer than the
        lag of reports, so that the effect of the first is visible.
    evictions_per_worker_minute, eviction_burst_share : float
        Rate and size of the eviction budget for each worker of the domain.
    quarantine_jobs : int
        Distinct jobs that fail on a worker before it is quarantined.
    probe_after_ms : int
        Time after the last failure when one task may probe the worker.
    job_failure_workers : int
        Distinct workers that a job fails on before it is failed.
    ramp_ms : int
        Time in which starts ramp up after a domain returned to service.
    ramp_starts_per_worker_second : float
        Rate of starts at the end of the ramp, and for its limit only.
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
