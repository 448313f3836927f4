"""Placement policy against baselines: ``python -m bench.placement``."""

import argparse
import concurrent.futures
import pathlib
import time

from bench import report
from bench.scenarios import Scenario
from bench.scenarios import SCENARIOS
from bench.scenarios import Shape
from bench.scenarios import SHAPES
from bench.simulation import Measures
from bench.simulation import run
from bench.simulation import THROTTLE_VARIANT

VARIANTS = ("random", "least-loaded", "best-fit", "policy", "bound")
ABSENT = Scenario("domain absent", 0.70, domain_leaves=True)
ABLATIONS = (
    ("interference", "noise waves"),
    ("interference", "cache-heavy noise"),
    ("usage", "declarations off by 10"),
    ("throttle", "noise waves"),
    ("noise-evictions", "cache-heavy noise"),
    ("eviction-budget", "steady 95%"),
    ("preemption", "steady 95%"),
    ("order", "steady 95%"),
    ("quarantine", "black holes"),
    ("job-failures", "black holes"),
    ("ramp", "domain leaves"),
)

THROTTLE_SCENARIOS = (
    "steady 50%",
    "steady 80%",
    "steady 95%",
    "noise waves",
    "domain leaves",
)
THROTTLE_RATIOS = (2.0, 2.5)

Job = tuple[Shape, Scenario, str, int]


def _jobs(seeds: int, parts: bool) -> list[Job]:
    by_name = {scenario.name: scenario for scenario in SCENARIOS}
    cases: list[tuple[Shape, Scenario, str]] = []
    for shape in SHAPES:
        if not parts:
            for scenario in SCENARIOS:
                cases += [(shape, scenario, variant) for variant in VARIANTS]
            cases.append((shape, ABSENT, "bound"))
            cases += [
                (shape, by_name[name], f"{THROTTLE_VARIANT}{ratio}")
                for name in THROTTLE_SCENARIOS
                for ratio in THROTTLE_RATIOS
            ]
        for part, name in ABLATIONS:
            if parts != (part == "interference"):
                cases.append((shape, by_name[name], f"without {part}"))
                if parts:
                    cases.append((shape, by_name[name], "policy"))
    cases = list(dict.fromkeys(cases))
    return [(*case, seed) for seed in range(1, seeds + 1) for case in cases]


def _run(job: Job) -> Measures:
    return run(*job)


def _document(results: report.Results, seeds: int, parts: bool) -> list[str]:
    option = " --parts" if parts else ""
    lines = [
        "# Measurements of the placement policy"
        + (": each part removed" if parts else ""),
        "",
        f"Made by `python -m bench.placement --seeds {seeds}{option}`: a"
        " simulation in virtual time, not a run of the programs. Mean ±"
        f" standard deviation over {seeds} seeds. Counter p99 is relative to"
        " the same request load without batch work; batch work counts"
        " progress that was kept, in seconds of one host. The bound is the"
        " same policy with the true pair values and reports without lag or"
        " noise. It is not an optimum: it can be beaten in one measure at the"
        " cost of another.",
    ]
    for shape in SHAPES:
        lines += ["", f"## {shape.name}: {shape.worker_count} workers", ""]
        if not parts:
            lines += [*report.goals(results, shape.name), ""]
        keys = [key for key in results if key[0] == shape.name]
        order = [scenario.name for scenario in (*SCENARIOS, ABSENT)]
        keys.sort(key=lambda key: order.index(key[1]))
        lines += report.table(results, keys)
    return lines


def main() -> None:
    """Run all scenarios and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--processes", type=int, default=7)
    parser.add_argument(
        "--parts",
        action="store_true",
        help="measure the policy without each of its parts instead",
    )
    parser.add_argument("--write", type=pathlib.Path, metavar="FILE")
    options = parser.parse_args()
    began = time.monotonic()
    results: report.Results = {}
    jobs = _jobs(max(2, options.seeds), options.parts)
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        for job, measures in zip(
            jobs, pool.map(_run, jobs, chunksize=4), strict=True
        ):
            shape, scenario, variant, _ = job
            key = (shape.name, scenario.name, variant)
            results.setdefault(key, []).append(measures)
    text = "\n".join(_document(results, max(2, options.seeds), options.parts))
    print(text)
    print(f"\n{len(jobs)} runs in {time.monotonic() - began:.0f} s")
    if options.write:
        options.write.write_text(text + "\n")


if __name__ == "__main__":
    main()
