"""One run of a scenario in virtual time."""

import dataclasses
import random
from typing import Protocol

import numpy

from bench.baselines import Baseline
from bench.fakes.arrivals import ArrivalSource
from bench.fakes.domain import FakeDomain
from bench.fakes.task import FakeTask
from bench.fakes.worker import FakeWorker
from bench.scenarios import Scenario
from bench.scenarios import Shape
from bench.truth import SERVICES
from bench.truth import Truth
from sardinespool.messages.tasks import SchedulingView
from sardinespool.placement.fleet import Fleet
from sardinespool.placement.interference import InterferenceModel
from sardinespool.placement.plan import Plan
from sardinespool.placement.policy import PlacementPolicy
from sardinespool.placement.settings import PolicySettings

START_UNIX_MS = 1_000_000_000
STEP_MS = 1_000
WARM_UP_MS = 60_000
LEAVE_MS = 90_000
CANCEL_MS = 110_000
RETURN_MS = 140_000
WINDOW_END_MS = 160_000
END_MS = 170_000
WORKERS_PER_RACK = 8


class Planner(Protocol):
    """What the measurement runs: a policy or a baseline."""

    def plan(self, view: SchedulingView) -> Plan:
        """Plan one pass."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Results of one run.

    Attributes
    ----------
    counter_p99 : float
        99th percentile of request latency over that without any batch.
    batch_work : float
        Processor seconds of batch progress kept, a host second being 1.
    evictions : int
        Tasks evicted while their domain was in service.
    noise_evictions : int
        Of these, the ones of tasks that disturbed a service.
    kills : int
        Tasks killed by hosts out of memory.
    window_work : float
        Work done between a domain's leave and 20 s after its return.
    overcommitted : int
        Steps times hosts with reservations above the capacity.
    refused : int
        Placements that the group's check refused.
    urgent_wait_p99_ms : float
        99th percentile of the wait of urgent tasks.
    failed_tasks : int
        Tasks of jobs that the policy failed.
    """

    counter_p99: float
    batch_work: float
    evictions: int
    noise_evictions: int
    kills: int
    window_work: float
    overcommitted: int
    refused: int
    urgent_wait_p99_ms: float
    failed_tasks: int


class TrueModel(InterferenceModel):
    """Knows the true pairs and the undisturbed latency."""

    def observe(self, fleet: Fleet) -> None:
        """Take over the baseline at the present load."""
        if isinstance(self.pairs, Truth):
            for service in SERVICES:
                self.baselines_ms[service] = 1.0 + self.pairs.request_load


THROTTLE_VARIANT = "throttle above "
"""Prefix of variants with another setting of `throttle_above`."""


def make_planner(variant: str, seed: int, truth: Truth) -> Planner:
    """Return the planner of a variant's name."""
    match variant:
        case "random" | "least-loaded" | "best-fit":
            return Baseline(variant, seed)
        case "policy":
            return PlacementPolicy(PolicySettings(), seed)
        case "bound":
            settings = PolicySettings()
            return PlacementPolicy(
                settings, seed, TrueModel(settings, truth, random.Random(seed))
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


def _domains(shape: Shape, seed: int, black_holes: int) -> list[FakeDomain]:
    rng = random.Random(f"workers {seed}")
    members: dict[str, list[FakeWorker]] = {
        name: [] for name in shape.failure_domains
    }
    for number in range(shape.worker_count):
        name = shape.failure_domains[number % len(members)]
        position = len(members[name])
        worker = FakeWorker(
            f"{name}-{position}",
            f"{name}-rack-{position // WORKERS_PER_RACK}",
            SERVICES[position % 3 == 2],
            shape.processors_millicores,
            shape.memory_mb,
            rng,
        )
        worker.black_hole = number < black_holes
        members[name].append(worker)
    return [FakeDomain(name, workers) for name, workers in members.items()]


class _Run:
    def __init__(
        self, shape: Shape, scenario: Scenario, variant: str, seed: int
    ) -> None:
        self.scenario = scenario
        self.truth = Truth(seed, scenario.cache_heavy)
        self.lagged = variant != "bound"
        self.source = ArrivalSource(seed, shape, scenario, self.truth)
        self.domains = _domains(shape, seed, scenario.black_holes)
        self.planners = [
            make_planner(variant, seed + number, self.truth)
            for number in range(len(self.domains))
        ]
        self.rng = random.Random(f"run {seed}")
        self.latencies: list[tuple[float, float]] = []

    def work(self) -> float:
        """Return the batch work done so far in host seconds."""
        done = 0.0
        for domain in self.domains:
            workers = domain.workers.values()
            done += sum(worker.work_done_ms for worker in workers)
            done -= domain.lost_work_ms
        size = next(iter(self.domains[0].workers.values()))
        return done / size.processors_millicores

    def assign(self, tasks: list[FakeTask]) -> None:
        """Give a job to the domain in service with the least work."""
        domain = min(
            (domain for domain in self.domains if domain.in_service),
            key=lambda domain: len(domain.tasks) / len(domain.workers),
        )
        for task in tasks:
            domain.tasks[task.task_id] = task

    def step(self, elapsed_ms: int) -> None:
        """Advance by one step."""
        unix_ms = START_UNIX_MS + elapsed_ms
        self.truth.request_load = self.source.request_load(elapsed_ms)
        if elapsed_ms == 0:
            for task in self.source.watchers(unix_ms)[1]:
                self.assign([task])
        for _, tasks in self.source.jobs(unix_ms, elapsed_ms, STEP_MS):
            self.assign(tasks)
        if self.scenario.cancellation_wave and elapsed_ms == CANCEL_MS:
            self._cancel()
        if self.scenario.domain_leaves:
            self._leave_and_return(elapsed_ms)
        for domain, planner in zip(self.domains, self.planners, strict=True):
            domain.apply(planner.plan(domain.view(unix_ms)), unix_ms)
        for domain in self.domains:
            domain.step(self.truth, unix_ms, STEP_MS, self.lagged)
            if elapsed_ms >= WARM_UP_MS:
                base = 1.0 + self.truth.request_load
                self.latencies += [
                    (base, base * worker.disturbance)
                    for worker in domain.workers.values()
                ]

    def _cancel(self) -> None:
        for domain in self.domains:
            jobs = sorted({t.job.job_id for t in domain.tasks.values()})
            domain.cancel(
                {
                    job_id
                    for job_id in jobs
                    if job_id != "watchers" and self.rng.random() < 0.6
                }
            )

    def _leave_and_return(self, elapsed_ms: int) -> None:
        leaving = self.domains[0]
        absent = self.scenario.name == "domain absent"
        leaving.in_service = not absent and not (
            LEAVE_MS <= elapsed_ms < RETURN_MS
        )
        if leaving.in_service:
            return
        for task in list(leaving.tasks.values()):
            if task.state == "queued":
                del leaving.tasks[task.task_id]
                self.assign([task])


def _p99(latencies: list[float]) -> float:
    """Return the 99th percentile of exponential times of these means."""
    means = numpy.array(latencies)
    low, high = 0.0, 10.0 * float(means.max())
    for _ in range(50):
        middle = (low + high) / 2
        if float(numpy.exp(-middle / means).mean()) > 0.01:
            low = middle
        else:
            high = middle
    return high


def run(shape: Shape, scenario: Scenario, variant: str, seed: int) -> Measures:
    """Run a scenario with one planner and return its measures."""
    state = _Run(shape, scenario, variant, seed)
    marks: dict[int, float] = {}
    evictions_before = 0
    for elapsed_ms in range(0, END_MS, STEP_MS):
        if elapsed_ms in (WARM_UP_MS, LEAVE_MS, WINDOW_END_MS):
            marks[elapsed_ms] = state.work()
        if elapsed_ms == WARM_UP_MS:
            evictions_before = sum(d.evictions for d in state.domains)
        state.step(elapsed_ms)
    domains = state.domains
    waits = [wait for domain in domains for wait in domain.start_waits_ms]
    undisturbed = _p99([base for base, _ in state.latencies])
    return Measures(
        counter_p99=_p99([value for _, value in state.latencies])
        / undisturbed,
        batch_work=state.work() - marks[WARM_UP_MS],
        evictions=sum(d.evictions for d in domains) - evictions_before,
        noise_evictions=sum(d.noise_evictions for d in domains),
        kills=sum(d.kills for d in domains),
        window_work=marks[WINDOW_END_MS] - marks[LEAVE_MS],
        overcommitted=sum(d.overcommitted for d in domains),
        refused=sum(d.refused for d in domains),
        urgent_wait_p99_ms=float(numpy.percentile(waits, 99))
        if waits
        else 0.0,
        failed_tasks=sum(d.failed_tasks for d in domains),
    )
