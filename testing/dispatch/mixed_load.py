"""Replay of short, batch and long-running jobs beside each other.

The load of section 2 of `docs/workspaces-and-load.md` at an eighth of its
size, against the dispatcher in virtual time.
"""

import dataclasses
import math
import random
from collections.abc import Collection

import msgspec

from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors.tasks import OverloadedError
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import SetEvacuation
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WorkflowSpec
from testing.dispatch.simulation import HOST
from testing.dispatch.simulation import Simulation

WORKERS = 22
WORKERS_LEFT = 13
"""Workers outside the largest failure domain."""
WORKER_MILLICORES = 32_000
ORACLE_STEP_MS = 50
SHORT_JOBS_A_SECOND = 8.5 / 8
BATCH_JOBS_A_SECOND = 5.85 / 8
BATCH_WORTH = 7
DEMAND_SWING = 0.55
DEMAND_PERIOD_MS = 30_000
BURST_MS = 6_000
LAST_RUN_MS = 60_000
"""Time after the last arrival until the jobs are counted."""
CALLER_TRIES = 5
EXPIRY_OBJECTIVES = 3
EXTRA_CALL_MS = 20
LATE_WORTH = 1 / 7
"""Worth of a job between one and three objectives."""


@dataclasses.dataclass(frozen=True)
class MixedLoad:
    """One day of the load.

    Attributes
    ----------
    name : str
        Name in test ids.
    error : float
        Standard deviation of the logarithm of declared run times.
    stragglers : float
        Share of the tasks that take seven times as long.
    demand : float
        Batch jobs, as a multiple of those of a usual day.
    burst : float
        Batch jobs in the first 6 s of each 20 s, as a multiple of the others.
    evacuated_ms : tuple of (int, int)
        When the largest failure domain is evacuated.
    odd_ms : int or None
        Run time that every fifth job declares instead.
    """

    name: str
    error: float = 0.9
    stragglers: float = 0.0
    demand: float = 1.0
    burst: float = 2.0
    duration_ms: int = 60_000
    evacuated_ms: tuple[int, int] = (0, 0)
    odd_ms: int | None = None

    def __str__(self) -> str:
        return self.name


@dataclasses.dataclass(frozen=True)
class DrawnJob:
    """A job as its caller knows it, and what its tasks will take."""

    name: str
    queue: QueueSpec
    spec: WorkflowSpec
    arrival_ms: int
    runs_ms: tuple[tuple[int, ...], ...]
    worth: int

    @property
    def objective_ms(self) -> float:
        chain_ms = sum(max(step) for step in self.runs_ms)
        return self.queue.stretch * chain_ms + self.queue.latency_objective_ms


@dataclasses.dataclass
class MixedOutcome:
    """What became of the jobs.

    Attributes
    ----------
    worth : float
        Worth of the served jobs, as a share of that of all.
    in_time : dict of str to float
        Share of the jobs that ended within their objective, by queue.
    worthless : set of str
        Accepted jobs that earned nothing.
    earned : dict of str to float
        Worth of each job.
    """

    worth: float
    in_time: dict[str, float]
    worthless: set[str]
    earned: dict[str, float]

    def earned_by(self, is_odd: bool) -> float:
        """Return the worth of every fifth job, or of all others."""
        return sum(
            worth
            for name, worth in self.earned.items()
            if (int(name[-4:]) % 5 == 0) is is_odd
        )


SHORT = QueueSpec(
    name="short",
    host=HOST,
    prefix="/short/",
    pool="pool",
    priority=0,
    failures_max=4,
    stretch=1.5,
    latency_objective_ms=250,
)
BATCH = msgspec.structs.replace(
    SHORT,
    name="batch",
    prefix="/batch/",
    stretch=2.0,
    latency_objective_ms=1_000,
)


def draw_jobs(load: MixedLoad, seed: int) -> list[DrawnJob]:
    """Return the jobs of a day; the same for each policy."""
    rng = random.Random(seed)
    jobs: list[DrawnJob] = []
    for queue, rate in (
        (SHORT, SHORT_JOBS_A_SECOND),
        (BATCH, BATCH_JOBS_A_SECOND * load.demand),
    ):
        rate_max = rate * (1 + DEMAND_SWING) * max(1.0, load.burst)
        due_ms = 0.0
        while True:
            due_ms += rng.expovariate(rate_max / 1000)
            if due_ms >= load.duration_ms:
                break
            swing = math.sin(2 * math.pi * due_ms / DEMAND_PERIOD_MS)
            now_rate = rate * (1 + DEMAND_SWING * swing)
            if due_ms % 20_000 < BURST_MS:
                now_rate *= load.burst
            if rng.random() < now_rate / rate_max:
                jobs.append(_draw_job(load, queue, due_ms, len(jobs), rng))
    return sorted(jobs, key=lambda job: job.arrival_ms)


def _draw_job(
    load: MixedLoad,
    queue: QueueSpec,
    due_ms: float,
    number: int,
    rng: random.Random,
) -> DrawnJob:
    is_batch = queue is BATCH
    run_ms = rng.uniform(2_300, 2_700) if is_batch else rng.uniform(540, 640)
    steps = 2 if is_batch else 1 + (rng.random() < 0.6)
    width = round((20 if is_batch else 10) * rng.uniform(0.5, 1.5))
    declared_ms = int(run_ms * math.exp(rng.gauss(0.0, load.error)))
    if load.odd_ms is not None and number % 5 == 0:
        declared_ms = load.odd_ms
    spec = StepSpec(
        count=width,
        processors_millicores=3_500 if is_batch else 3_700,
        memory_mb=10,
        expected_run_ms=declared_ms,
        uses_leftover_processors=is_batch,
        image=queue.name,
    )

    def draw_task_ms() -> int:
        factor = math.exp(rng.gauss(0.0, 0.2))
        if is_batch and rng.random() < load.stragglers:
            factor *= 7
        return int(run_ms * factor)

    return DrawnJob(
        f"{queue.name}{number:04d}",
        queue,
        WorkflowSpec(
            payload="",
            steps=tuple(
                msgspec.structs.replace(
                    spec, after=(position - 1,) if position else ()
                )
                for position in range(steps)
            ),
        ),
        int(due_ms),
        tuple(
            tuple(draw_task_ms() for _ in range(width)) for _ in range(steps)
        ),
        BATCH_WORTH if is_batch else 1,
    )


class MixedReplay:
    """One day with callers that try again when they are refused.

    Parameters
    ----------
    load : MixedLoad
        The day.
    seed : int
        Seed of the jobs and workers.
    admission : bool
        Whether jobs that would end too late are refused.
    left_out : collection of str
        Jobs that their callers don't submit.
    """

    def __init__(
        self,
        load: MixedLoad,
        seed: int,
        admission: bool = False,
        left_out: Collection[str] = (),
    ) -> None:
        self._load = load
        self._jobs = {job.name: job for job in draw_jobs(load, seed)}
        self._left_out = left_out
        self._tries: dict[str, int] = {}
        self._accepted: set[str] = set()
        self._ended_ms: dict[str, int] = {}
        self.simulation = simulation = Simulation(
            seed,
            workers=WORKERS,
            settings=DispatchSettings(admission=admission),
        )
        simulation.request(
            PublishManifest(
                version=2,
                queues=(SHORT, BATCH),
                pools=(PoolSpec(name="pool"),),
                source=b"{}",
            )
        )
        for number, worker in enumerate(simulation.workers.values()):
            worker.set_capacity(WORKER_MILLICORES, 64_000)
            worker.failure_ratio = 0.0
            worker.run_time_ms = self._run_time_ms
            # Sizes of the failure domains: 1.0, 1.0, 1.5.
            worker.failure_domain = "abc"[min(2, number * 7 // (2 * WORKERS))]

    def run(self) -> MixedOutcome:
        """Play the day."""
        simulation = self.simulation
        simulation.run(1_500)
        lasting = StepSpec(
            count=2, processors_millicores=8_000, long_running=True
        )
        spec = WorkflowSpec(payload="", steps=(lasting,))
        self._submit(DrawnJob("lasting", SHORT, spec, 0, (), 0))
        self._accepted.clear()
        begin_ms, end_ms = self._load.evacuated_ms
        if end_ms:
            for delay_ms, evacuated in ((begin_ms, True), (end_ms, False)):
                simulation.at(
                    delay_ms,
                    lambda evacuated=evacuated: simulation.request_applied(
                        SetEvacuation(failure_domain="c", evacuated=evacuated)
                    ),
                )
        self._begin_ms = simulation.now_ms
        for job in self._jobs.values():
            if job.name not in self._left_out:
                simulation.at(
                    job.arrival_ms, lambda job=job: self._submit(job)
                )
        simulation.run(self._load.duration_ms + LAST_RUN_MS)
        return self._count()

    def _run_time_ms(self, task: str) -> int:
        name, _, position, index = task.split(".")
        job = self._jobs.get(name)
        if job is None:
            return 10**9
        return job.runs_ms[int(position)][int(index)]

    def _submit(self, job: DrawnJob) -> None:
        simulation = self.simulation
        tries = self._tries[job.name] = self._tries.get(job.name, 0) + 1
        simulation.oracle.specs[job.name] = job.spec
        try:
            simulation.request(
                SubmitWorkflow(
                    host=HOST,
                    path=job.queue.prefix + job.name,
                    spec=job.spec,
                )
            )
        except OverloadedError as error:
            retry_ms = 1_000 * error.details["retry_after_s"]
        else:
            self._accepted.add(job.name)
            return
        if tries < CALLER_TRIES:
            simulation.at(retry_ms + EXTRA_CALL_MS, lambda: self._submit(job))

    def _count(self) -> MixedOutcome:
        jobs = self._jobs.values()
        earned: dict[str, float] = {}
        in_time: dict[str, list[bool]] = {"short": [], "batch": []}
        for job in jobs:
            workflow = self.simulation.machine.table.workflows.get(job.name)
            earned[job.name] = 0.0
            in_time[job.queue.name].append(False)
            if workflow is None or workflow.state != "completed":
                continue
            age_ms = (
                workflow.ended_unix_ms
                - 1_000_000
                - self._begin_ms
                - job.arrival_ms
            )
            if age_ms <= job.objective_ms:
                earned[job.name] = job.worth
                in_time[job.queue.name][-1] = True
            elif age_ms <= EXPIRY_OBJECTIVES * job.objective_ms:
                earned[job.name] = job.worth * LATE_WORTH
        assert self.simulation.oracle.violations == []
        return MixedOutcome(
            worth=sum(earned.values()) / sum(job.worth for job in jobs),
            in_time={
                name: sum(items) / max(1, len(items))
                for name, items in in_time.items()
            },
            worthless={name for name in self._accepted if not earned[name]},
            earned=earned,
        )


def oracle_worth(load: MixedLoad, seed: int) -> float:
    """Return the worth that an oracle with all run times gets.

    It knows all jobs and serves those that it chooses by their due times, as
    if work could be divided at will. Whenever one would be late, it gives up
    the one with the most work so far (Moore and Hodgson).
    """
    jobs = draw_jobs(load, seed)
    needs = {
        job.name: sum(map(sum, job.runs_ms))
        * job.spec.steps[0].processors_millicores
        for job in jobs
    }
    chosen = list(jobs)
    while (late := _first_late(load, chosen, needs)) is not None:
        before = [job for job in chosen if job.arrival_ms <= late]
        chosen.remove(max(before, key=lambda job: needs[job.name] / job.worth))
    return sum(job.worth for job in chosen) / sum(job.worth for job in jobs)


def _first_late(
    load: MixedLoad, jobs: list[DrawnJob], needs: dict[str, int]
) -> float | None:
    """Return when the first job misses its objective, None if none does."""
    left = {job.name: float(needs[job.name]) for job in jobs}
    arrivals = sorted(jobs, key=lambda job: -job.arrival_ms)
    open_jobs: list[DrawnJob] = []
    now_ms = 0
    while arrivals or open_jobs:
        while arrivals and arrivals[-1].arrival_ms <= now_ms:
            open_jobs.append(arrivals.pop())
        open_jobs.sort(key=lambda job: -job.arrival_ms - job.objective_ms)
        is_away = load.evacuated_ms[0] <= now_ms < load.evacuated_ms[1]
        workers = WORKERS_LEFT if is_away else WORKERS
        budget = float(workers * WORKER_MILLICORES * ORACLE_STEP_MS)
        while open_jobs and budget > 0:
            job = open_jobs[-1]
            if now_ms > job.arrival_ms + job.objective_ms:
                return now_ms
            done = min(budget, left[job.name])
            budget -= done
            left[job.name] -= done
            if left[job.name] <= 0:
                open_jobs.pop()
        now_ms += ORACLE_STEP_MS
    return None
