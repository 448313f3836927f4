"""Replay of load patterns against the dispatcher in virtual time."""

import dataclasses
import random
import zlib

import msgspec

from sardinespool.messages.workflows import StepSpec
from testing.dispatch.simulation import Simulation

OBJECTIVE_BASE_MS = 500
STRETCH = 2.0
"""Completion objective of the simulated queue."""
EXPIRY_OBJECTIVES = 3
LAST_RUN_MS = 20_000
"""Time after the last arrival until the jobs are counted."""
TASK_MILLICORES = 1_000
WORKERS = 8


@dataclasses.dataclass(frozen=True)
class LoadPattern:
    """Arrivals of jobs of two steps.

    Attributes
    ----------
    name : str
        Name in test ids.
    load : float
        Work that arrives, as a multiple of what the fleet can do.
    duration_ms : int
        How long jobs arrive.
    width : int
        Tasks of a step; each needs a quarter of a worker.
    run_ms : int
        Expected run time of a task.
    batch : int
        Number of jobs that arrive at the same moment.
    estimate_error : float
        Standard deviation of the logarithm of declared run times.
    """

    name: str
    load: float
    duration_ms: int = 15_000
    width: int = 8
    run_ms: int = 700
    batch: int = 1
    estimate_error: float = 0.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Shares of the jobs of a replay.

    Attributes
    ----------
    in_objective, late : float
        Jobs that ended within their objective, and later but before they
        expired.
    widest : float
        Share of the widest fifth of the jobs that ended within the objective.
    """

    in_objective: float
    late: float
    widest: float

    @property
    def earned(self) -> float:
        """Value of the jobs; a late one has a seventh of that in time."""
        return self.in_objective + self.late / 7


def replay(pattern: LoadPattern, seed: int) -> Outcome:
    """Play a load pattern and return what became of its jobs."""
    simulation = Simulation(seed, workers=WORKERS)
    rng = random.Random(seed)
    run_times: dict[str, int] = {}

    def run_time_ms(task: str) -> int:
        # The same task takes the same time under each policy.
        draw = random.Random(zlib.crc32(task.encode()) + seed)
        mean_ms = run_times[task.split(".")[0]]
        return max(50, int(mean_ms * draw.lognormvariate(-0.12, 0.5)))

    for worker in simulation.workers.values():
        worker.run_time_ms = run_time_ms
        worker.failure_ratio = 0.0
    simulation.run(1_500)
    slots = WORKERS * 4_000 // TASK_MILLICORES
    job_work_ms = 2 * pattern.width * pattern.run_ms
    interval_ms = pattern.batch * job_work_ms / (slots * pattern.load)
    submitted_ms: dict[str, int] = {}
    widths: dict[str, int] = {}
    begin_ms = simulation.now_ms
    due_ms = float(begin_ms)
    while due_ms < begin_ms + pattern.duration_ms:
        simulation.run(max(0, int(due_ms) - simulation.now_ms))
        for _ in range(pattern.batch):
            name = f"job{len(submitted_ms):04d}"
            width = max(1, round(pattern.width * rng.uniform(0.4, 1.6)))
            run_times[name] = pattern.run_ms
            widths[name] = width
            step = StepSpec(
                count=width,
                processors_millicores=TASK_MILLICORES,
                memory_mb=10,
                expected_run_ms=int(
                    pattern.run_ms
                    * rng.lognormvariate(0.0, pattern.estimate_error)
                ),
            )
            submitted_ms[name] = simulation.now_ms
            simulation.submit(
                name, step, msgspec.structs.replace(step, after=(0,))
            )
        due_ms += rng.expovariate(1.0 / interval_ms)
    simulation.run(LAST_RUN_MS)
    in_time: set[str] = set()
    late = 0
    for name, sent_ms in submitted_ms.items():
        workflow = simulation.machine.table.workflows[name]
        if workflow.state != "completed":
            continue
        age_ms = workflow.ended_unix_ms - 1_000_000 - sent_ms
        # Callers count from the run times that the tasks turn out to have.
        chain_ms = sum(
            max(
                run_time_ms(f"{name}.0.{position}.{index}")
                for index in range(widths[name])
            )
            for position in range(2)
        )
        objective_ms = OBJECTIVE_BASE_MS + STRETCH * chain_ms
        if age_ms <= objective_ms:
            in_time.add(name)
        elif age_ms <= EXPIRY_OBJECTIVES * objective_ms:
            late += 1
    assert simulation.oracle.violations == []
    widest = sorted(widths, key=lambda name: -widths[name])
    widest = widest[: max(1, len(widest) // 5)]
    return Outcome(
        len(in_time) / len(submitted_ms),
        late / len(submitted_ms),
        sum(name in in_time for name in widest) / len(widest),
    )
