"""Cost of the waits for near workers: ``python -m bench.near_places``.

600 workers of ten racks; one rack is full, and 300 ready steps want it. Each
pass chooses a worker for a task of each step, with and without the waits.
"""

import statistics
import time

from sardinespool.clock import Instant
from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.estimates_schedule import EstimatesSchedule
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.near_waits import NearWaits
from sardinespool.dispatch.placer import Placer
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.observability.metrics import Metrics
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import WorkflowRecord

WORKERS, RACKS, STEPS, RUNS = 600, 10, 300, 8
PASSES = 15
SPEC = StepSpec(
    count=1,
    processors_millicores=4_000,
    expected_run_ms=20_000,
    data_rack="r-0",
)
QUEUE = QueueSpec(
    name="q",
    host="h",
    prefix="/",
    pool="p",
    priority=0,
    failures_max=1,
    stretch=1.5,
    latency_objective_ms=250,
)
SETTINGS = DispatchSettings(remote_factor=3.0)


def make_step(job_id: str) -> StepRecord:
    """Return the step of a new job."""
    spec = WorkflowSpec(payload="", steps=(SPEC,))
    return WorkflowRecord(job_id, QUEUE, spec, 0).open_occurrence(0)[0]


def make_worker(number: int) -> WorkerState:
    """Return a worker, which is full if its rack holds the data."""
    rack = f"r-{number % RACKS}"
    worker = WorkerState(
        WorkerDescription(
            worker_id=f"w{number}",
            incarnation=1,
            address="10.0.0.1:80",
            pool="p",
            failure_domain="d",
            host=f"h{number}",
            labels=("kind", rack),
            processors_millicores=RUNS * SPEC.processors_millicores,
            memory_mb=64_000,
            accelerators=0,
            rack=rack,
        ),
        SETTINGS,
        0,
    )
    for run in range(RUNS if rack == SPEC.data_rack else 0):
        task = make_step(f"run-{number}-{run}").tasks[0]
        worker.add_run(RunState(task.key, 1, task, RunPhase.RUNNING, 60_000))
    return worker


def main() -> None:
    """Print the median time of a pass with and without the waits."""
    machine = ControlMachine()
    estimates = EstimatesSchedule(machine, TailModel())
    near = NearWaits(
        machine,
        estimates,
        SETTINGS,
        DispatchMetrics(Metrics("controller", "a")),
    )
    workers = [make_worker(number) for number in range(WORKERS)]
    ready = {step.key: step for step in map(make_step, map(str, range(STEPS)))}
    scorer = BestEffortScorer(TailModel())
    times_ms: dict[bool, list[float]] = {True: [], False: []}
    waiting = 0
    for number in range(2 * PASSES):
        waits = number % 2 == 1
        begin = time.perf_counter()
        if waits:
            now = Instant(60_000 + 10 * number, 0)
            near.begin_pass(ready, {"p": workers}, now)
        placer = Placer(workers, scorer, (), near if waits else None)
        found = [
            next(placer.workers_for(step, False, set()), None)
            for step in ready.values()
        ]
        times_ms[waits].append(1_000 * (time.perf_counter() - begin))
        if waits:
            waiting = found.count(None)
    base_ms, pass_ms = (statistics.median(times_ms[key]) for key in (0, 1))
    print(
        f"{waiting} of {STEPS} steps wait; pass {base_ms:.1f} ms without,"
        f" {pass_ms:.1f} ms with the waits: {pass_ms / base_ms:.3f} times;"
        f" first pass with them {times_ms[True][0]:.1f} ms"
    )


if __name__ == "__main__":
    main()
