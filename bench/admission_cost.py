"""Cost of learned run times and of admission, as ratios and microseconds.

    python -m bench.admission_cost

A fleet of 600 workers is full, 300 steps are ready. Passes of the planner with
learned and with declared times alternate, so that the load of the machine
affects both alike.
"""

import logging
import statistics
import time

from sardinespool.clock import Instant
from sardinespool.dispatch.control_service import ControlService
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors.tasks import OverloadedError
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.observability.metrics import Metrics

WORKERS = 600
STEPS = 300
PASSES = 60
QUEUE = QueueSpec(
    name="q",
    host="h",
    prefix="/",
    pool="p",
    priority=0,
    failures_max=2,
    stretch=2.0,
    latency_objective_ms=1_000,
)
SPEC = WorkflowSpec(
    payload="",
    steps=(
        StepSpec(
            count=100, processors_millicores=3_500, expected_run_ms=2_500
        ),
    )
    * 2,
)


def now_after(elapsed_ms: int) -> Instant:
    """Return an instant of the replayed clock."""
    return Instant(100_000 + elapsed_ms, 1_000_000 + elapsed_ms)


def build() -> Dispatcher:
    """Return the dispatcher of a leader with a full fleet."""
    machine = ControlMachine()

    def apply(body: CommandBody) -> None:
        machine.apply(Command(proposed_unix_ms=1_000_000, body=body), 0)

    apply(
        PublishManifest(
            version=1,
            queues=(QUEUE,),
            pools=(PoolSpec(name="p"),),
            source=b"{}",
        )
    )
    for number in range(WORKERS):
        description = WorkerDescription(
            worker_id=f"w{number}",
            incarnation=1,
            address=f"10.0.0.1:{number}",
            pool="p",
            failure_domain="a",
            host=f"h{number}",
            labels=(),
            processors_millicores=32_000,
            memory_mb=64_000,
            accelerators=0,
        )
        apply(PutWorker(description=description))
    for number in range(STEPS):
        apply(AcceptWorkflow(job_id=f"j{number}", queue="q", spec=SPEC))
    dispatcher = Dispatcher(
        machine,
        DispatchSettings(admission=True),
        lambda worker_id: None,
        DispatchMetrics(Metrics("controller", "bench")),
    )
    dispatcher.begin(1, now_after(0))
    for worker in dispatcher.fleet.workers.values():
        worker.answered = worker.reconciled = True
        worker.free_millicores = 1_000
        worker.last_answer_boot_ms = now_after(0).boot_ms
    return dispatcher


def main() -> None:
    """Print the costs."""
    logging.disable(logging.CRITICAL)
    dispatcher = build()
    machine = dispatcher.fleet._machine
    workflows = list(machine.table.workflows.values())
    learned = [item.predicted for item in workflows]
    times_ms: dict[bool, list[float]] = {True: [], False: []}
    for number in range(2 * PASSES):
        with_learned = number % 2 == 0
        for workflow, predicted in zip(workflows, learned, strict=True):
            workflow.predicted = predicted if with_learned else None
        begin = time.perf_counter()
        dispatcher.planner.request_pass()
        dispatcher.planner.assign(now_after(number))
        times_ms[with_learned].append(1_000 * (time.perf_counter() - begin))
    middle = {key: statistics.median(item) for key, item in times_ms.items()}
    print(f"planning pass, declared times: {middle[False]:.2f} ms")
    print(f"planning pass, learned times: {middle[True]:.2f} ms")
    print(f"ratio: {middle[True] / middle[False]:.2f}")
    for workflow, predicted in zip(workflows, learned, strict=True):
        workflow.predicted = predicted
    service = ControlService(machine, dispatcher, lambda: None)
    service._admission.begin(now_after(0))
    checks_us: list[float] = []
    refused = 0
    for number in range(2_000):
        now = now_after(3_000 + number)
        begin = time.perf_counter()
        try:
            service._admission.check(f"n{number}", QUEUE, SPEC, now)
        except OverloadedError:
            refused += 1
        checks_us.append(1e6 * (time.perf_counter() - begin))
    checks_us.sort()
    print(
        f"check: median {checks_us[1_000]:.0f} us, 99% {checks_us[1_980]:.0f}"
        f" us, mean {statistics.fmean(checks_us):.0f} us, {refused} refused"
    )


if __name__ == "__main__":
    main()
