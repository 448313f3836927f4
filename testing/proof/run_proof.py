"""Run all cells, random schedules and mutations of the simulation tests."""

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

RULE_COUNT = 10
KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
"""Lists the commands of known failures, which are printed and counted."""

PROCESS_COUNT = max(1, min(4, (os.cpu_count() or 2) // 3))
"""At most a third of the processors, as other work runs on the host."""

Job = tuple[str, str, int]
"""Kind of job, name and seed."""


def run_job(job: Job) -> str:
    """Run one job; return its finding, or an empty string."""
    absl_logging.set_verbosity(absl_logging.ERROR)
    kind, name, seed = job
    try:
        if kind == "cell":
            matrix.run_cell(matrix.parse_cell(name), seed)
        elif kind == "example":
            matrix.run_schedule(seed)
        else:
            return mutations.detect_mutation(name, seed)
    except AssertionError as error:
        return f"{type(error).__name__}: {error}"
    except Exception:
        return traceback.format_exc(limit=-4)
    return ""


def run_all(seed: int, examples: int) -> int:
    """Run all jobs; print each finding and a summary line."""
    started = time.monotonic()
    jobs = [("mutation", name, seed) for name in mutations.MUTATIONS]
    jobs += [("cell", cell.name, seed) for cell in matrix.cells()]
    jobs += [("example", "", seed * 100_000 + n) for n in range(examples)]
    known_red = KNOWN_RED.read_text().splitlines()
    caught = failed = known = 0
    with concurrent.futures.ProcessPoolExecutor(PROCESS_COUNT) as pool:
        for job, finding in zip(jobs, pool.map(run_job, jobs), strict=True):
            kind, name, job_seed = job
            command = f"--{kind} {name}".rstrip() + f" --seed {job_seed}"
            command = f"python -m testing.proof.run_proof {command}"
            if kind == "mutation":
                caught += bool(finding)
                print(f"{name}: {finding or 'NOT CAUGHT, ' + command}")
            elif finding and f"command: {command}" in known_red:
                known += 1
                print(f"KNOWN RED {finding}\n  {command}", flush=True)
            elif finding:
                failed += 1
                print(f"FAILED {finding}\n  {command}", flush=True)
    mutated = len(mutations.MUTATIONS)
    cells = len(jobs) - mutated - examples
    print(
        f"rules {RULE_COUNT}, cells {cells}, examples {examples}, mutations "
        f"caught {caught} of {mutated}, failed {failed}, known red {known} "
        f"(seed {seed}, {time.monotonic() - started:.0f} s)"
    )
    return int(failed > 0 or caught < mutated)


def main() -> int:
    """Run all jobs, or the one that the options select."""
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
    finding = run_job((kind, options.cell or options.mutation, options.seed))
    print(finding or "nothing found")
    return int(bool(finding) != bool(options.mutation))


if __name__ == "__main__":
    sys.exit(main())
