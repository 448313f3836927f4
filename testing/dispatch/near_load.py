"""Replay of jobs that want the workers of a rack, in virtual time."""

import dataclasses
import functools
import random
import statistics
import zlib

import msgspec

from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.fake_worker import FakeWorker
from testing.dispatch.simulation import Simulation

RACKS = ("r-hot", "r-1", "r-2")
WORKERS = 24
TASK_MILLICORES = 1_000
SLOTS = WORKERS * 4
STRETCH = 1.5
TARGET_MS = 250
"""Objective of short jobs: a multiple of their longest chain, and a time."""
TASKS = 10
RUN_MS = (540, 640)
TASK_SPREAD = 0.2
DECLARED_ERROR = 0.5
"""Standard deviation of the logarithm of declared run times."""
WARM_UP_MS = 4_000
DAY_MS = 14_000
HOT_MS = (4_000, 10_000)
"""Part of the replay in which the jobs want the hot rack."""


@dataclasses.dataclass(frozen=True)
class NearLoad:
    """Arrivals of short jobs.

    Attributes
    ----------
    name : str
        Name in test ids.
    load : float
        Work that arrives, as a multiple of what the workers can do near.
    wish : float
        Share of the jobs that want a rack, drawn from all racks.
    hot : float
        Share of the jobs that want the hot rack meanwhile.
    remote_factor : float
        Run time of a remote task, as a multiple.
    hot_slowdown : float
        Run time on the hot rack, as a multiple that the leader doesn't know.
    cut_ms : int
        How long the workers of the hot rack are cut off meanwhile.
    """

    name: str
    load: float
    wish: float = 0.3
    hot: float = 0.0
    remote_factor: float = 2.0
    hot_slowdown: float = 1.0
    cut_ms: int = 0


@dataclasses.dataclass(frozen=True)
class NearOutcome:
    """Shares of the jobs in time, their completion, and use of the workers."""

    in_time: float
    p50_ms: float
    p99_ms: float
    near: float
    idle: float


def replay_near(load: NearLoad, seed: int, enabled: bool) -> NearOutcome:
    """Play a load; `enabled` is whether the leader knows the factor."""
    simulation = Simulation(seed, workers=WORKERS)
    rng = random.Random(seed)
    run_ms: dict[str, float] = {}
    racks: dict[str, str] = {}
    starts = {True: 0, False: 0}

    def near_run_ms(task: str) -> float:
        draw = random.Random(zlib.crc32(task.encode()) + seed)
        return run_ms[task.split(".")[0]] * draw.lognormvariate(
            0.0, TASK_SPREAD
        )

    def place(worker: FakeWorker, rack: str) -> None:
        def run_time_ms(task: str) -> int:
            wish = racks[task.split(".")[0]]
            if wish:
                starts[wish == rack] += 1
            remote = wish not in ("", rack)
            factor = load.remote_factor if remote else 1.0
            if rack == RACKS[0]:
                factor *= load.hot_slowdown
            return int(near_run_ms(task) * factor)

        worker.labels = ("kind", rack)
        worker.failure_ratio = 0.0
        worker.run_time_ms = run_time_ms

    for number, worker in enumerate(simulation.workers.values()):
        place(worker, RACKS[number % len(RACKS)])
    if enabled:
        simulation.settings = dataclasses.replace(
            simulation.settings, remote_factor=load.remote_factor
        )
    simulation.lead()
    queue = msgspec.structs.replace(
        simulation.machine.manifest.queue_named("q"),
        stretch=STRETCH,
        latency_objective_ms=TARGET_MS,
    )
    simulation.request(
        PublishManifest(
            version=2,
            queues=(queue,),
            pools=(PoolSpec(name="pool"),),
            source=b"{}",
        )
    )
    simulation.run(1_500)
    job_ms = 1.6 * TASKS * statistics.mean(RUN_MS)
    sent_ms: dict[str, int] = {}
    steps_of: dict[str, int] = {}
    free: list[int] = []
    begin_ms = simulation.now_ms
    hot = [w for w in simulation.workers.values() if RACKS[0] in w.labels]
    for worker in hot if load.cut_ms else ():
        simulation.at(
            HOT_MS[0] + 2_000,
            functools.partial(setattr, worker, "reachable", False),
        )
        simulation.at(
            HOT_MS[0] + 2_000 + load.cut_ms,
            functools.partial(setattr, worker, "reachable", True),
        )
    due_ms = float(begin_ms)
    while due_ms < begin_ms + DAY_MS:
        simulation.run(max(0, int(due_ms) - simulation.now_ms))
        now_ms = simulation.now_ms - begin_ms
        is_hot = HOT_MS[0] <= now_ms < HOT_MS[1] and rng.random() < load.hot
        wish = rng.choice(RACKS) if rng.random() < load.wish else ""
        name = f"job{len(sent_ms):04d}"
        racks[name] = RACKS[0] if is_hot else wish
        run_ms[name] = rng.uniform(*RUN_MS)
        steps_of[name] = 1 + (rng.random() < 0.6)
        step = StepSpec(
            count=TASKS,
            processors_millicores=TASK_MILLICORES,
            memory_mb=10,
            expected_run_ms=int(
                run_ms[name] * rng.lognormvariate(0.0, DECLARED_ERROR)
            ),
            data_rack=racks[name],
        )
        sent_ms[name] = simulation.now_ms
        simulation.submit(
            name,
            *(step, msgspec.structs.replace(step, after=(0,)))[
                : steps_of[name]
            ],
        )
        if now_ms >= WARM_UP_MS:
            free.append(
                SLOTS
                - sum(len(w.running) for w in simulation.workers.values())
            )
        due_ms += rng.expovariate(SLOTS * load.load / job_ms)
    simulation.run(8_000)
    ages: list[int] = []
    in_time = 0
    for name, at_ms in sent_ms.items():
        workflow = simulation.machine.table.workflows[name]
        if at_ms - begin_ms < WARM_UP_MS or workflow.state != "completed":
            continue
        ages.append(workflow.ended_unix_ms - 1_000_000 - at_ms)
        chain_ms = sum(
            max(near_run_ms(f"{name}.0.{step}.{i}") for i in range(TASKS))
            for step in range(steps_of[name])
        )
        in_time += ages[-1] <= TARGET_MS + STRETCH * chain_ms
    assert simulation.oracle.violations == []
    ages.sort()
    return NearOutcome(
        in_time / len(ages),
        ages[len(ages) // 2],
        ages[int(0.99 * len(ages))],
        starts[True] / max(1, sum(starts.values())),
        statistics.mean(free) / SLOTS,
    )
