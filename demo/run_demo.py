"""Demonstration of the whole system on loopback.

It starts the real programs with stand-in workers and goes through what both
users rely on; it ends with exit code 1 at the first step that does not hold.
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
from demo.context import Demo
from demo.processes import ProcessSet
from demo.settings_files import Plan
from demo.settings_files import write_settings
from demo.shape import Shape
from demo.shape import SHAPES
from demo.shape import with_workers
from sardinespool.errors import SardinespoolError
from sardinespool.programs.command_line.client import OperatorClient
from sardinespool.settings.model import OperatorSettings

Step = tuple[str, Callable[[Demo], str]]

STEPS: tuple[Step, ...] = (
    ("all ready", steps_configuration.all_ready),
    ("approval by its author", steps_configuration.author_cannot_approve),
    ("approval by the approver", steps_configuration.approved_everywhere),
    ("seat checks", steps_requests.seats_through_each_domain),
    ("booking sent twice", steps_requests.booking_runs_once),
    ("scholarship job evicted", steps_domains.evicted_job_resumes_once),
    ("domain taken out", steps_domains.no_starts_in_removed_domain),
    ("domain returned", steps_domains.returned_domain_starts_again),
    (
        "store and entry killed",
        steps_failures.killed_processes_are_replaced,
    ),
    ("stores restarted", steps_restarts.stores_restart_in_turn),
    ("state dumps", steps_end.dumps_are_fetched),
    ("entry stopped", steps_end.entry_stops_gracefully),
    ("all stopped", steps_end.everything_stops_gracefully),
)


def run(shape: Shape, folder: pathlib.Path, steps: Sequence[Step]) -> bool:
    """Run the steps; return whether all of them held."""
    started = time.monotonic()
    plan = write_settings(shape, folder)

    def show(sign: str, name: str, text: str) -> None:
        elapsed_s = time.monotonic() - started
        print(f"[{elapsed_s:6.1f} s] {sign:6} {name}: {text}", flush=True)

    with ProcessSet(folder) as processes:
        demo = Demo(
            shape=shape,
            plan=plan,
            processes=processes,
            operator=_client(plan, "operator-1"),
            approver=_client(plan, "approver-1"),
            caller=Caller(shape.service, plan.tokens["caller-1"]),
        )
        for process in plan.processes:
            processes.start(process)
        show("start", shape.name, f"{len(plan.processes)} processes")
        for name, step in steps:
            try:
                show("ok", name, step(demo))
            except (
                SardinespoolError,
                OSError,
                http.client.HTTPException,
            ) as error:
                show("FAILED", name, f"{type(error).__name__}: {error}")
                return False
    return True


def _client(plan: Plan, name: str) -> OperatorClient:
    entries = tuple(process.address for process in plan.of("entry"))
    return OperatorClient(
        OperatorSettings(entries=entries, token=plan.tokens[name])
    )


def _stop(number: int, frame: FrameType | None) -> None:
    # As an exception, so that every started process is ended on the way out.
    raise KeyboardInterrupt


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", choices=sorted(SHAPES), default="bakery")
    parser.add_argument("--workers", type=int, help="workers in total")
    parser.add_argument(
        "--steps", type=int, default=len(STEPS), help="run the first ones only"
    )
    parser.add_argument(
        "--keep", action="store_true", help="keep settings, logs and records"
    )
    options = parser.parse_args(arguments)
    shape = SHAPES[options.shape]
    if options.workers is not None:
        if options.workers < len(shape.domains):
            parser.error("--workers: at least one for each failure domain")
        shape = with_workers(shape, options.workers)
    signal.signal(signal.SIGTERM, _stop)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="sardinespool-demo-"))
    held = False
    try:
        held = run(shape, folder, STEPS[: options.steps])
    except KeyboardInterrupt:
        print("interrupted; all processes were ended", flush=True)
    finally:
        if options.keep or not held:
            print(f"settings, logs and records: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    main()
