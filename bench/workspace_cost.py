"""Cost of workspaces in a pass: ``python -m bench.workspace_cost``.

Prints the ratio of a planning pass of the control group with 130 workspaces,
600 workers and 300 ready steps to the same pass without workspaces, for
workers with room for all tasks and for workers that are nearly full.
"""

import argparse
import random
import statistics
import time

from sardinespool.clock import Instant
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.observability.metrics import Metrics

WORKERS = 600
WORKSPACES = 130
STEPS = 300
PASSES = 30
RATIO_MAX = 1.1
FREE_MILLICORES = {"room for all": (32_000,), "nearly full": (1_000, 400, 400)}
"""Processors of the workers in turn; no task fits on 400."""
NOW = Instant(100_000, 1_000_000)


def make_dispatcher(
    millicores: tuple[int, ...], with_workspaces: bool
) -> Dispatcher:
    """Return a dispatcher that leads, with answering workers and ready steps.

    The jobs belong to workspaces in both cases.
    """
    machine = ControlMachine()

    def apply(body: CommandBody) -> None:
        machine.apply(Command(proposed_unix_ms=NOW.unix_ms, body=body), 0)

    queue = QueueSpec(
        name="q",
        host="h",
        prefix="/",
        pool="p",
        priority=0,
        failures_max=3,
        stretch=2.0,
        latency_objective_ms=500,
    )
    names = [f"workspace-{number}" for number in range(WORKSPACES)]
    apply(
        PublishManifest(
            version=1,
            queues=(queue,),
            pools=(PoolSpec(name="p"),),
            source=b"",
            workspaces=tuple(
                WorkspaceSpec(
                    name=name,
                    weight=1 + number % 7,
                    processors_millicores_max=3_000_000,
                    memory_mb_max=6_000_000,
                )
                for number, name in enumerate(names)
            )
            if with_workspaces
            else None,
        )
    )
    reports = [
        ReportWorker(
            description=WorkerDescription(
                worker_id=f"w{number}",
                incarnation=1,
                address=f"10.0.{number // 250}.{number % 250}:80",
                pool="p",
                failure_domain=f"d{number % 3}",
                host=f"host-{number}",
                labels=(),
                processors_millicores=millicores[number % len(millicores)],
                memory_mb=128_000,
                accelerators=0,
            ),
            sequence=1,
            clock_ms=NOW.boot_ms,
        )
        for number in range(WORKERS)
    ]
    for report in reports:
        apply(PutWorker(description=report.description))
    draw = random.Random(1)
    for number in range(STEPS):
        step = StepSpec(
            count=draw.randint(2, 8),
            processors_millicores=draw.choice([500, 900]),
            memory_mb=500,
            expected_run_ms=600,
        )
        apply(
            AcceptWorkflow(
                job_id=f"job{number}",
                queue="q",
                spec=WorkflowSpec(payload="", steps=(step,)),
                workspace=names[number % WORKSPACES],
            )
        )
    dispatcher = Dispatcher(
        machine,
        DispatchSettings(),
        lambda worker_id: None,
        DispatchMetrics(Metrics("bench", "bench")),
    )
    dispatcher.begin(1, NOW)
    for report in reports:
        dispatcher.handle_heartbeat(report, NOW)
        dispatcher.handle_renewal_result(
            report.description.worker_id,
            1,
            RenewLease(1, 0, 0, None),
            LeaseRenewed(NOW.boot_ms, 1, (), ()),
            NOW.boot_ms,
            NOW,
        )
    return dispatcher


def time_pass(dispatcher: Dispatcher) -> tuple[float, int]:
    """Return the processor time of a pass in ms, and its starts."""
    planner = dispatcher.planner
    planner.request_pass()
    begin_ns = time.process_time_ns()
    assignments, planned = planner.assign(NOW)
    elapsed_ms = (time.process_time_ns() - begin_ns) / 1e6
    for worker, run in planned:
        worker.remove_run(run)
    return elapsed_ms, len(assignments)


def main() -> None:
    """Print both times and their ratio."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| workers | starts | without, ms | with, ms | ratio |")
    print("|---|---|---|---|---|")
    for name, millicores in FREE_MILLICORES.items():
        without = make_dispatcher(millicores, with_workspaces=False)
        with_workspaces = make_dispatcher(millicores, with_workspaces=True)
        time_pass(without)
        time_pass(with_workspaces)
        # Alternating, so that both see the same load of the machine.
        pairs = [
            (time_pass(without), time_pass(with_workspaces))
            for _ in range(PASSES)
        ]
        before_ms = statistics.median(before[0] for before, _ in pairs)
        after_ms = statistics.median(after[0] for _, after in pairs)
        print(
            f"| {name} | {pairs[0][0][1]}, {pairs[0][1][1]} |"
            f" {before_ms:.1f} | {after_ms:.1f} |"
            f" {after_ms / before_ms:.3f} (at most {RATIO_MAX}) |"
        )


if __name__ == "__main__":
    main()
