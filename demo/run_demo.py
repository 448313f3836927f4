"""End-to-end demonstration of the system on the loopback interface.

It starts the real programs with stand-in workers and runs steps that check
what both users rely on. It exits with code 1 at the first step that fails.
"""

import argparse
import http.client
import pathlib
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from collections.abc import Sequence
from types import FrameType

from demo import steps_configuration
from demo import steps_domains
from demo import steps_end
from demo import steps_failures
from demo import steps_requests
from demo import steps_restarts
from demo.caller import Caller
from demo.context import DemoContext
from demo.processes import ProcessSet
from demo.settings_files import DeploymentPlan
from demo.settings_files import write_settings
from demo.shape import DeploymentShape
from demo.shape import SHAPES
from demo.shape import with_worker_count
from sardinespool.errors import SardinespoolError
from sardinespool.programs.command_line.client import OperatorClient
from sardinespool.settings.model import OperatorSettings

Step = tuple[str, Callable[[DemoContext], str]]

STEPS: tuple[Step, ...] = (
    ("all ready", steps_configuration.all_processes_ready),
    ("approval by its author", steps_configuration.author_approval_is_refused),
    (
        "approval by the approver",
        steps_configuration.approved_patch_takes_effect,
    ),
    ("seat checks", steps_requests.seat_checks_in_each_domain),
    ("booking sent twice", steps_requests.booking_runs_once),
    ("scholarship job evicted", steps_domains.evicted_job_resumes_once),
    ("domain taken out", steps_domains.no_starts_after_removal),
    ("domain returned", steps_domains.returned_domain_starts_tasks),
    (
        "store and entry killed",
        steps_failures.killed_processes_are_replaced,
    ),
    ("stores restarted", steps_restarts.stores_restart_one_by_one),
    ("state dumps", steps_end.state_dumps_are_served),
    ("entry stopped", steps_end.entry_stops_gracefully),
    ("all stopped", steps_end.all_processes_stop_gracefully),
)


def run(
    shape: DeploymentShape, folder: pathlib.Path, steps: Sequence[Step]
) -> bool:
    """Run the steps in order; return whether all of them succeeded."""
    started = time.monotonic()
    plan = write_settings(shape, folder)

    def report(result: str, name: str, text: str) -> None:
        elapsed_s = time.monotonic() - started
        print(f"[{elapsed_s:6.1f} s] {result:6} {name}: {text}", flush=True)

    with ProcessSet(folder) as processes:
        demo = DemoContext(
            shape=shape,
            plan=plan,
            processes=processes,
            operator=_operator_client(plan, "operator-1"),
            approver=_operator_client(plan, "approver-1"),
            caller=Caller(shape.service, plan.tokens["caller-1"]),
        )
        for process in plan.processes:
            processes.start(process)
        report("start", shape.name, f"{len(plan.processes)} processes")
        for name, step in steps:
            try:
                report("ok", name, step(demo))
            except (
                SardinespoolError,
                OSError,
                http.client.HTTPException,
            ) as error:
                report("FAILED", name, f"{type(error).__name__}: {error}")
                return False
    return True


def _operator_client(plan: DeploymentPlan, name: str) -> OperatorClient:
    entries = tuple(process.address for process in plan.processes_of("entry"))
    return OperatorClient(
        OperatorSettings(entries=entries, token=plan.tokens[name])
    )


def _raise_interrupt(signal_number: int, frame: FrameType | None) -> None:
    # An exception unwinds through `ProcessSet`, which kills every started
    # process.
    raise KeyboardInterrupt


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the demonstration and exit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", choices=sorted(SHAPES), default="bakery")
    parser.add_argument("--workers", type=int, help="total number of workers")
    parser.add_argument(
        "--steps",
        type=int,
        default=len(STEPS),
        help="number of steps to run, from the first",
    )
    parser.add_argument(
        "--keep",
        action="store_true",
        help="keep settings, logs and record files",
    )
    options = parser.parse_args(arguments)
    shape = SHAPES[options.shape]
    if options.workers is not None:
        if options.workers < len(shape.domains):
            parser.error(
                "--workers: each failure domain needs at least one worker"
            )
        shape = with_worker_count(shape, options.workers)
    signal.signal(signal.SIGTERM, _raise_interrupt)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sardinespool-demo-"))
    succeeded = False
    try:
        succeeded = run(shape, folder, STEPS[: options.steps])
    except KeyboardInterrupt:
        print("interrupted; all processes were killed", flush=True)
    finally:
        if options.keep or not succeeded:
            print(f"settings, logs and record files: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
