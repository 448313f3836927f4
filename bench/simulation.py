"""Simulation of one scenario in virtual time."""

import dataclasses
import random
from typing import Protocol

import numpy

from bench.baselines import Baseline
from bench.fakes.arrivals import JobArrivals
from bench.fakes.domain import FakeDomain
from bench.fakes.task import FakeTask
from bench.fakes.worker import FakeWorker
from bench.ground_truth import GroundTruth
from bench.ground_truth import SERVICES
from bench.scenarios import Scenario
from bench.scenarios import Shape
from sardinespool.messages.tasks import SchedulingView
from sardinespool.placement.fleet import FleetState
from sardinespool.placement.interference import InterferenceModel
from sardinespool.placement.plan import Plan
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.placement.settings import PolicySettings

START_UNIX_MS = 1_000_000_000
STEP_MS = 1_000
WARM_UP_MS = 60_000
DOMAIN_LEAVES_AT_MS = 90_000
CANCELLATION_AT_MS = 110_000
DOMAIN_RETURNS_AT_MS = 140_000
WINDOW_END_MS = 160_000
END_MS = 170_000
WORKERS_PER_RACK = 8


class Planner(Protocol):
    """Policy or baseline under test."""

    def plan(self, view: SchedulingView) -> Plan:
        """Return the plan of one scheduling pass."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Results of one run.

    Attributes
    ----------
    counter_p99 : float
        99th percentile of request latency, relative to no batch work.
    batch_work : float
        Batch progress that was not lost, in seconds of a whole host.
    evictions : int
        Tasks evicted while their domain was in service.
    noise_evictions : int
        Of these, the evictions for interference with a service.
    oom_kills : int
        Tasks killed because their host ran out of memory.
    window_work : float
        Work done from a domain's removal until 20 s after its return.
    overcommitted : int
        Host steps with reservations above the capacity.
    refused : int
        Placements that the group's capacity check refused.
    urgent_wait_p99_ms : float
        99th percentile of the queueing time of urgent tasks.
    failed_tasks : int
        Tasks of jobs that the policy declared failed.
    """

    counter_p99: float
    batch_work: float
    evictions: int
    noise_evictions: int
    oom_kills: int
    window_work: float
    overcommitted: int
    refused: int
    urgent_wait_p99_ms: float
    failed_tasks: int


class GroundTruthModel(InterferenceModel):
    """Interference model that uses the ground truth instead of estimates."""

    def observe(self, fleet: FleetState) -> None:
        """Set the undisturbed latency at the current request load."""
        if isinstance(self.pairs, GroundTruth):
            for service in SERVICES:
                self.baselines_ms[service] = 1.0 + self.pairs.request_load


THROTTLE_VARIANT = "throttle above "
"""Prefix of the variants that override `throttle_above`."""


def make_planner(variant: str, seed: int, truth: GroundTruth) -> Planner:
    """Return the planner for a variant."""
    match variant:
        case "random" | "least-loaded" | "best-fit":
            return Baseline(variant, seed)
        case "policy":
            return PlacementPolicy(PolicySettings(), seed)
        case "bound":
            settings = PolicySettings()
            return PlacementPolicy(
                settings,
                seed,
                GroundTruthModel(settings, truth, random.Random(seed)),
            )
        case _ if variant.startswith(THROTTLE_VARIANT):
            ratio = float(variant.removeprefix(THROTTLE_VARIANT))
            return PlacementPolicy(PolicySettings(throttle_above=ratio), seed)
        case _:
            part = variant.removeprefix("without ")
            return PlacementPolicy(
                PolicySettings(disabled=frozenset([part])),  # type: ignore
                seed,
            )


def _make_domains(
    shape: Shape, seed: int, black_holes: int
) -> list[FakeDomain]:
    rng = random.Random(f"workers {seed}")
    workers_by_domain: dict[str, list[FakeWorker]] = {
        name: [] for name in shape.failure_domains
    }
    for number in range(shape.worker_count):
        name = shape.failure_domains[number % len(workers_by_domain)]
        position = len(workers_by_domain[name])
        worker = FakeWorker(
            f"{name}-{position}",
            f"{name}-rack-{position // WORKERS_PER_RACK}",
            SERVICES[position % 3 == 2],
            shape.processors_millicores,
            shape.memory_mb,
            rng,
        )
        worker.black_hole = number < black_holes
        workers_by_domain[name].append(worker)
    return [
        FakeDomain(name, workers)
        for name, workers in workers_by_domain.items()
    ]


class _Simulation:
    def __init__(
        self, shape: Shape, scenario: Scenario, variant: str, seed: int
    ) -> None:
        self.scenario = scenario
        self.truth = GroundTruth(seed, scenario.cache_heavy)
        self.lagged = variant != "bound"
        self.arrivals = JobArrivals(seed, shape, scenario, self.truth)
        self.domains = _make_domains(shape, seed, scenario.black_holes)
        self.planners = [
            make_planner(variant, seed + number, self.truth)
            for number in range(len(self.domains))
        ]
        self.rng = random.Random(f"run {seed}")
        self.latencies: list[tuple[float, float]] = []

    def work(self) -> float:
        """Return the batch work kept so far, in host seconds."""
        work_ms = 0.0
        for domain in self.domains:
            workers = domain.workers.values()
            work_ms += sum(worker.work_done_ms for worker in workers)
            work_ms -= domain.lost_work_ms
        worker = next(iter(self.domains[0].workers.values()))
        return work_ms / worker.processors_millicores

    def assign(self, tasks: list[FakeTask]) -> None:
        """Assign tasks to the in-service domain with the fewest per worker."""
        domain = min(
            (domain for domain in self.domains if domain.in_service),
            key=lambda domain: len(domain.tasks) / len(domain.workers),
        )
        for task in tasks:
            domain.tasks[task.task_id] = task

    def step(self, elapsed_ms: int) -> None:
        """Advance the simulation by one step."""
        unix_ms = START_UNIX_MS + elapsed_ms
        self.truth.request_load = self.arrivals.request_load(elapsed_ms)
        if elapsed_ms == 0:
            for task in self.arrivals.latency_critical_job(unix_ms)[1]:
                self.assign([task])
        for _, tasks in self.arrivals.jobs(unix_ms, elapsed_ms, STEP_MS):
            self.assign(tasks)
        if (
            self.scenario.cancellation_wave
            and elapsed_ms == CANCELLATION_AT_MS
        ):
            self._cancel_jobs()
        if self.scenario.domain_leaves:
            self._update_domain_service(elapsed_ms)
        for domain, planner in zip(self.domains, self.planners, strict=True):
            domain.apply(planner.plan(domain.view(unix_ms)), unix_ms)
        for domain in self.domains:
            domain.step(self.truth, unix_ms, STEP_MS, self.lagged)
            if elapsed_ms >= WARM_UP_MS:
                base = 1.0 + self.truth.request_load
                self.latencies += [
                    (base, base * worker.latency_factor)
                    for worker in domain.workers.values()
                ]

    def _cancel_jobs(self) -> None:
        for domain in self.domains:
            jobs = sorted({t.job.job_id for t in domain.tasks.values()})
            domain.cancel(
                {
                    job_id
                    for job_id in jobs
                    if job_id != "watchers" and self.rng.random() < 0.6
                }
            )

    def _update_domain_service(self, elapsed_ms: int) -> None:
        leaving = self.domains[0]
        absent = self.scenario.name == "domain absent"
        leaving.in_service = not absent and not (
            DOMAIN_LEAVES_AT_MS <= elapsed_ms < DOMAIN_RETURNS_AT_MS
        )
        if leaving.in_service:
            return
        for task in list(leaving.tasks.values()):
            if task.state == "queued":
                del leaving.tasks[task.task_id]
                self.assign([task])


def _p99(latencies: list[float]) -> float:
    """Return the 99th percentile of a mix of exponentials, by their means."""
    means = numpy.array(latencies)
    low, high = 0.0, 10.0 * float(means.max())
    for _ in range(50):
        mid = (low + high) / 2
        if float(numpy.exp(-mid / means).mean()) > 0.01:
            low = mid
        else:
            high = mid
    return high


def run(shape: Shape, scenario: Scenario, variant: str, seed: int) -> Measures:
    """Simulate a scenario with one variant and return its measures."""
    simulation = _Simulation(shape, scenario, variant, seed)
    work_at: dict[int, float] = {}
    evictions_before = 0
    for elapsed_ms in range(0, END_MS, STEP_MS):
        if elapsed_ms in (WARM_UP_MS, DOMAIN_LEAVES_AT_MS, WINDOW_END_MS):
            work_at[elapsed_ms] = simulation.work()
        if elapsed_ms == WARM_UP_MS:
            evictions_before = sum(d.evictions for d in simulation.domains)
        simulation.step(elapsed_ms)
    domains = simulation.domains
    urgent_waits_ms = [
        wait for domain in domains for wait in domain.urgent_waits_ms
    ]
    undisturbed = _p99([base for base, _ in simulation.latencies])
    return Measures(
        counter_p99=_p99([value for _, value in simulation.latencies])
        / undisturbed,
        batch_work=simulation.work() - work_at[WARM_UP_MS],
        evictions=sum(d.evictions for d in domains) - evictions_before,
        noise_evictions=sum(d.noise_evictions for d in domains),
        oom_kills=sum(d.oom_kills for d in domains),
        window_work=work_at[WINDOW_END_MS] - work_at[DOMAIN_LEAVES_AT_MS],
        overcommitted=sum(d.overcommitted for d in domains),
        refused=sum(d.refused for d in domains),
        urgent_wait_p99_ms=float(numpy.percentile(urgent_waits_ms, 99))
        if urgent_waits_ms
        else 0.0,
        failed_tasks=sum(d.failed_tasks for d in domains),
    )
