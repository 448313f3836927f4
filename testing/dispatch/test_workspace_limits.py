"""Limits of workspaces on what the workers run, with faults."""

import random

import hypothesis
from hypothesis import strategies as st

from sardinespool.messages.workflows import StepSpec
from testing.dispatch.workspace_simulation import workspace
from testing.dispatch.workspace_simulation import WorkspaceSimulation

LIMITS = (2_000, 3_000, 5_000, 0)
EVENTS = (
    "submit",
    "submit",
    "submit",
    "gang",
    "lasting",
    "limit",
    "limit",
    "cancel",
    "cut",
    "restart",
    "leader",
    "lapse",
    "wait",
)
SCRIPTS = st.lists(
    st.tuples(st.sampled_from(EVENTS), st.integers(0, 2**16)),
    min_size=10,
    max_size=30,
)
RATES = st.sampled_from([0.0, 0.1, 0.3])


def play(
    simulation: WorkspaceSimulation, script: list[tuple[str, int]]
) -> None:
    """Carry out events, some time apart, then let the faults end."""
    jobs = 0
    limits = {"a": 3_000, "b": 2_000}
    for event, number in script:
        draw = random.Random(number)
        name = draw.choice("ab")
        worker = simulation.workers[f"w{number % len(simulation.workers)}"]
        match event:
            case "submit" | "gang" | "lasting":
                jobs += 1
                spec = StepSpec(
                    count=draw.randint(1, 6),
                    processors_millicores=draw.choice([500, 700, 1_000]),
                    memory_mb=100,
                    expected_run_ms=700,
                    gang=event == "gang",
                    long_running=event == "lasting",
                    uses_leftover_processors=draw.random() < 0.2,
                )
                simulation.submit_to(name, f"job{jobs}", spec)
            case "limit":
                limits[name] = draw.choice(LIMITS)
                simulation.publish(
                    *(workspace(key, most) for key, most in limits.items())
                )
            case "cancel" if jobs and simulation.serving:
                simulation.cancel(f"job{draw.randint(1, jobs)}")
            case "cut":
                worker.reachable = not worker.reachable
            case "restart" if worker.up:
                worker.crash()
                simulation.at(
                    draw.randint(100, 5_000),
                    lambda item=worker: item.start_incarnation(
                        simulation.now_ms
                    ),
                )
            case "leader" if simulation.serving:
                simulation.lose_leader(draw.randint(50, 1_000))
            case "lapse":
                simulation.lapse_lease(draw.randint(50, 1_000))
        simulation.run(draw.choice([5, 50, 400, 1_500]))
    for worker in simulation.workers.values():
        worker.reachable = True
    simulation.faults.unanswered = 0.0
    simulation.run(25_000)


@hypothesis.settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    # Shrinking a schedule takes minutes and hardly shortens its log.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
@hypothesis.given(SCRIPTS, RATES, RATES, st.integers(0, 2**16))
def test_workers_never_run_more_than_the_limit(
    script: list[tuple[str, int]], unanswered: float, late: float, seed: int
) -> None:
    """Guards against runs that still go on but are not counted."""
    simulation = WorkspaceSimulation(seed)
    simulation.faults.unanswered = unanswered
    simulation.faults.late = late
    simulation.restores_snapshots = bool(seed % 2)
    simulation.publish(workspace("a", 3_000), workspace("b", 2_000))
    play(simulation, script)
    # The fake workers end lasting runs, which the other rules don't expect.
    assert simulation.oracle.overruns == []
    assert simulation.oracle.excesses == []
    usage = simulation.machine.table.usage
    for name in "ab":
        running = sum(
            task.split(".")[0] in simulation.oracle.workspace_of
            and simulation.oracle.workspace_of[task.split(".")[0]] == name
            for worker in simulation.workers.values()
            for task in worker.running
        )
        assert usage.tasks_of(name) >= running
