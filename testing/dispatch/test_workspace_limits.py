"""Limits of workspaces on what the workers run, with faults."""

import random
from collections.abc import Callable
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st

from sardinespool.dispatch import fleet
from sardinespool.dispatch import start_limits
from sardinespool.dispatch.answer_handler import AnswerHandler
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.start_limits import StartLimits
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows import assignment_units
from sardinespool.workflows import table
from sardinespool.workflows.records import TaskRecord
from sardinespool.workflows.records import TaskState
from sardinespool.workflows.run_index import RunIndex
from sardinespool.workspaces.limits import may_start
from testing.dispatch.workspace_simulation import workspace
from testing.dispatch.workspace_simulation import WorkspaceSimulation

LIMITS = (2_000, 3_000, 5_000, 0)
EVENTS = (
    "submit submit submit gang lasting limit limit cancel cut restart leader"
    " lapse wait"
).split()
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


def play_random(seed: int) -> list[str]:
    """Play a schedule drawn from a seed; return the starts above limits."""
    draw = random.Random(seed)
    script = [
        (draw.choice(EVENTS), draw.randrange(2**16))
        for _ in range(draw.randint(10, 30))
    ]
    simulation = WorkspaceSimulation(seed)
    simulation.faults.unanswered = draw.choice([0.0, 0.1, 0.3])
    simulation.faults.late = draw.choice([0.0, 0.1, 0.3])
    simulation.restores_snapshots = bool(seed % 2)
    simulation.publish(workspace("a", 3_000), workspace("b", 2_000))
    play(simulation, script)
    return simulation.oracle.excesses


def uncount(patch: pytest.MonkeyPatch, owner: type, name: str) -> None:
    """Stop counting the runs that a method handles, as a mutation."""
    original = getattr(owner, name)
    remove_run = WorkerState.remove_run
    uncounted: dict[int, RunState] = {}

    def count(worker: WorkerState, run: RunState, change: str) -> None:
        if run.step is not None:
            change_use = getattr(worker._usage, change)
            change_use(run.step.workflow.workspace, run.step.spec)

    def handle(handler: Any, worker: WorkerState, *arguments: Any) -> None:
        original(handler, worker, *arguments)
        for run in list(worker.runs.values()):
            # Without a run among the arguments, all of the worker are meant.
            if id(run) not in uncounted and (
                run in arguments or isinstance(arguments[0], str)
            ):
                uncounted[id(run)] = run
                count(worker, run, "remove")

    def remove(worker: WorkerState, run: RunState) -> None:
        if worker.runs.get(run.key) is run and uncounted.pop(id(run), None):
            count(worker, run, "add")
        remove_run(worker, run)

    patch.setattr(owner, name, handle)
    patch.setattr(WorkerState, "remove_run", remove)


def uncount_loaded(patch: pytest.MonkeyPatch) -> None:
    def load(recorded: object, workers: Any, *arguments: Any) -> None:
        load_runs(recorded, workers, *arguments)
        for worker in workers.values():
            for run in worker.runs.values():
                if run.step is not None:
                    worker._usage.remove(
                        run.step.workflow.workspace, run.step.spec
                    )

    load_runs: Any = fleet.load_runs
    patch.setattr(fleet, "load_runs", load)


def uncount_leftover(patch: pytest.MonkeyPatch) -> None:
    def add(index: RunIndex, task: TaskRecord) -> None:
        if task.state is TaskState.DONE:
            task.worker_id = ""
        else:
            original(index, task)

    original = RunIndex.add
    patch.setattr(RunIndex, "add", add)


def decide_with(patch: pytest.MonkeyPatch, decision: object) -> None:
    patch.setattr(start_limits, "may_start", decision)
    patch.setattr(assignment_units, "may_start", decision)


OF_TABLE = ("none of the table", "leftover")
MUTATIONS: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "none": lambda p: None,
    "none of the table": lambda p: None,
    "leftover": uncount_leftover,
    "new leader": uncount_loaded,
    "stopped": lambda p: uncount(p, Dispatcher, "stop_run"),
    "ordered": lambda p: uncount(p, AnswerHandler, "handle_order_result"),
    "silent": lambda p: uncount(p, AnswerHandler, "_mark_unresponsive"),
    "gang": lambda p: decide_with(p, lambda *items: may_start(*items[:3])),
    "use alone": lambda p: decide_with(
        p, lambda used, _, limit, size: used[0] < (limit[0] or 0)
    ),
    "neither": lambda p: decide_with(p, lambda *_: True),
}
MUTATION_SEEDS = (*range(20), 143)
"""In 143 a new leader sent starts again beside runs above a lowered limit."""


@pytest.mark.parametrize("name", MUTATIONS)
def test_each_counted_case_is_needed(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """Guards against schedules that no longer need what is counted.

    The planner and the table back each other up, so that a mutation of one
    shows only without the other.
    """
    if name in OF_TABLE:
        monkeypatch.setattr(StartLimits, "may_start", lambda *_: True)
    else:
        monkeypatch.setattr(table, "has_room", lambda *_: True)
    MUTATIONS[name](monkeypatch)
    caught = any(play_random(seed) for seed in MUTATION_SEEDS)
    assert caught is not name.startswith("none")


@pytest.mark.parametrize(
    ("answered", "mutated"), [(True, False), (False, False), (False, True)]
)
def test_starts_above_a_lowered_limit_are_given_up(
    monkeypatch: pytest.MonkeyPatch, answered: bool, mutated: bool
) -> None:
    """Guards against planned starts that are sent after the limit fell."""
    if mutated:
        monkeypatch.setattr(StartLimits, "is_excess", lambda *_: False)
    simulation = WorkspaceSimulation(1, workers=2)
    simulation.publish(workspace("a", 4_000))
    simulation.run(1_500)
    for worker in simulation.workers.values():
        worker.run_time_ms = lambda task: 30_000
        worker.failure_ratio = 0.0
    spec = StepSpec(count=4, processors_millicores=1_000, memory_mb=1)
    simulation.submit_to("a", "job", spec)
    simulation.faults.unanswered = 0.0 if answered else 1.0
    simulation.run(100)
    assert simulation.machine.table.usage.tasks_of("a") == 4
    simulation.publish(workspace("a", 2_000))
    simulation.run(600)
    simulation.faults.unanswered = 0.0
    simulation.run(4_000)
    started = sum(len(item.running) for item in simulation.workers.values())
    assert started == (4 if answered or mutated else 2)
    assert simulation.machine.table.usage.tasks_of("a") == started
    simulation.publish(workspace("a", 4_000))
    simulation.run(4_000)
    started = sum(len(item.running) for item in simulation.workers.values())
    assert started == 4
    assert bool(simulation.oracle.excesses) is mutated


@pytest.mark.parametrize("count", [1, 50])
def test_lowered_limits_are_checked_in_one_pass(count: int) -> None:
    """Guards against a leader that stops for each workspace's pass."""
    names = [f"n{number}" for number in range(count)]
    machine = ControlMachine()
    machine.manifest.put(
        PublishManifest(
            version=1,
            queues=(),
            pools=(),
            source=b"",
            workspaces=tuple(workspace(name, 1) for name in names),
        )
    )
    passes = []

    class Workers(dict[str, WorkerState]):
        def values(self) -> Any:
            passes.append(1)
            return super().values()

    limits = StartLimits(machine, Workers())
    for name in names:
        limits.usage.add(name, StepSpec(count=1, processors_millicores=2))
    assert limits.excess_starts() == []
    assert len(passes) == 1
