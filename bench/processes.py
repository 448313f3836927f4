"""Measurements of the real processes: ``python -m bench.processes``.

Each part starts its own small deployment on loopback, ends by itself and
ends only the processes that it started.
"""

import argparse
import datetime
import os
import pathlib
import signal
import sys
import time
from collections.abc import Callable
from collections.abc import Sequence
from types import FrameType

from bench.process_bench import durable
from bench.process_bench import entry_overhead
from bench.process_bench import idle_processes
from bench.process_bench import large_replies
from bench.process_bench import leader_loss
from bench.process_bench import propagation
from bench.process_bench import removal
from bench.process_bench import restart
from bench.process_bench import task_starts
from bench.process_bench import urgent
from bench.process_bench.figures import Section
from bench.process_bench.figures import table

PARTS: dict[str, Callable[[], Section]] = {
    "entry": entry_overhead.run,
    "idle": idle_processes.run,
    "propagation": propagation.run,
    "removal": removal.run,
    "leader": leader_loss.run,
    "durable": durable.run,
    "starts": task_starts.run,
    "urgent": urgent.run,
    "restart": restart.run,
    "large": large_replies.run,
}


def _stop(number: int, frame: FrameType | None) -> None:
    # As an exception, so that every started process is ended on the way out.
    raise KeyboardInterrupt


def _bytecode() -> str:
    if not sys.dont_write_bytecode:
        return ""
    return (
        " PYTHONDONTWRITEBYTECODE is set, so each start compiles the sources"
        " again."
    )


def _load() -> str:
    return ", ".join(f"{value:.1f}" for value in os.getloadavg())


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the parts, print their tables and write them to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--parts", nargs="+", choices=sorted(PARTS), default=list(PARTS)
    )
    parser.add_argument("--write", type=pathlib.Path, metavar="FILE")
    options = parser.parse_args(arguments)
    signal.signal(signal.SIGTERM, _stop)
    began = datetime.datetime.now(datetime.UTC)
    memory_gb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1e9
    command = "python -m bench.processes " + " ".join(
        sys.argv[1:] if arguments is None else arguments
    )
    lines = [
        "# Measurements of the processes",
        "",
        f"Made by `{command.strip()}`, begun {began:%Y-%m-%d %H:%M} UTC, on"
        f" one machine of {os.cpu_count()} processors and {memory_gb:.0f} GB,"
        f" Python {sys.version.split()[0]}. All processes, stand-ins and the"
        " load share it over loopback. The load average (1, 5, 15 minutes)"
        " stands with each part: above the number of processors, other work"
        " took part of the machine." + _bytecode(),
    ]
    failed = []
    for name in options.parts:
        before = _load()
        started = time.monotonic()
        try:
            section = PARTS[name]()
        except Exception as error:
            failed.append(name)
            text = f"{type(error).__name__}: {error}"
            block = ["", f"## {name}", "", f"**Failed**: {text}"]
        else:
            elapsed_s = time.monotonic() - started
            block = [
                "",
                f"## {section.title}",
                "",
                f"{section.method} Load average {before} before and {_load()}"
                f" after; {elapsed_s:.0f} s.",
                "",
                *table(section.figures),
            ]
        print("\n".join(block), flush=True)
        lines += block
        if options.write:
            options.write.write_text("\n".join(lines) + "\n")
    if failed:
        sys.exit(f"failed: {', '.join(failed)}")


if __name__ == "__main__":
    main()
