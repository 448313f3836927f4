"""Command of the proof: all cells, random schedules and mutations."""

import argparse
import concurrent.futures
import os
import pathlib
import sys
import time
import traceback

from absl import logging as absl_logging

from testing.proof import matrix
from testing.proof import mutations

RULES = 10
KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
"""Commands of failures that are known; they are printed and counted."""

PROCESSES = max(1, min(4, (os.cpu_count() or 2) // 3))
"""A third of the host at most; other work runs beside the proof."""

Job = tuple[str, str, int]
"""Kind, name and seed."""


def run_job(job: Job) -> str:
    """Run one job; return what was found, or an empty string."""
    absl_logging.set_verbosity(absl_logging.ERROR)
    kind, name, seed = job
    try:
        if kind == "cell":
            matrix.run_cell(matrix.cell_named(name), seed)
        elif kind == "example":
            matrix.run_schedule(seed)
        else:
            return mutations.hunt(name, seed)
    except AssertionError as error:
        return f"{type(error).__name__}: {error}"
    except Exception:
        return traceback.format_exc(limit=-4)
    return ""


def run_all(seed: int, examples: int) -> int:
    """Run everything; print each finding and one line at the end."""
    started = time.monotonic()
    jobs = [("mutation", name, seed) for name in mutations.MUTATIONS]
    jobs += [("cell", cell.name, seed) for cell in matrix.cells()]
    jobs += [("example", "", seed * 100_000 + n) for n in range(examples)]
    known_red = KNOWN_RED.read_text().splitlines()
    caught = failed = known = 0
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for job, found in zip(jobs, pool.map(run_job, jobs), strict=True):
            kind, name, own_seed = job
            command = f"--{kind} {name}".rstrip() + f" --seed {own_seed}"
            command = f"python -m testing.proof.run_proof {command}"
            if kind == "mutation":
                caught += bool(found)
                print(f"{name}: {found or 'NOT CAUGHT, ' + command}")
            elif found and f"command: {command}" in known_red:
                known += 1
                print(f"KNOWN RED {found}\n  {command}", flush=True)
            elif found:
                failed += 1
                print(f"FAILED {found}\n  {command}", flush=True)
    mutated = len(mutations.MUTATIONS)
    cells = len(jobs) - mutated - examples
    print(
        f"rules {RULES}, cells {cells}, examples {examples}, mutations "
        f"caught {caught} of {mutated}, failed {failed}, known red {known} "
        f"(seed {seed}, {time.monotonic() - started:.0f} s)"
    )
    return int(failed > 0 or caught < mutated)


def main() -> int:
    """Run everything, or one job of a printed command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=50)
    parser.add_argument("--cell", default="")
    parser.add_argument("--example", action="store_true")
    parser.add_argument("--mutation", default="")
    options = parser.parse_args()
    if not (options.cell or options.example or options.mutation):
        return run_all(options.seed, options.examples)
    kind = "cell" if options.cell else "mutation"
    kind = "example" if options.example else kind
    found = run_job((kind, options.cell or options.mutation, options.seed))
    print(found or "nothing found")
    return int(bool(found) != bool(options.mutation))


if __name__ == "__main__":
    sys.exit(main())
