"""Choice of workers for the tasks of one step."""

import pytest

from sardinespool.dispatch.best_effort import BestEffortScorer
from sardinespool.dispatch.placer import Placer
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.tail_model import TailHistory
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord
from testing.dispatch.support import make_step
from testing.dispatch.support import make_worker


def place_tasks(
    step: StepRecord,
    workers: list[WorkerState],
    model: TailModel | None = None,
    failed_workers: set[str] = frozenset(),  # type: ignore[assignment]
) -> list[str]:
    """Place the tasks of a step; return the worker of each placed task."""
    best_effort = BestEffortScorer(model or TailModel())
    best_effort.begin_pass({}, 20_000)
    placer = Placer(workers, best_effort)
    choices = placer.workers_for(step, False, set(failed_workers))
    chosen = []
    for task in step.tasks:
        worker = next(choices, None)
        if worker is None:
            break
        worker.add_run(RunState(task.key, 1, task, RunPhase.ORDERED, 0))
        chosen.append(worker.worker_id)
    return chosen


@pytest.mark.parametrize(
    ("capacities", "placed"),
    [((4_000,), 3), ((2_000, 2_000), 3), ((1_000, 1_000), 1), ((1_000,), 0)],
)
def test_long_running_tasks_leave_the_last_slot_free(
    capacities: tuple[int, ...], placed: int
) -> None:
    """Guards against long-running tasks that wait while two slots are free."""
    spec = StepSpec(count=4, processors_millicores=1_000, long_running=True)
    workers = [
        make_worker(f"w{i}", capacity) for i, capacity in enumerate(capacities)
    ]
    assert len(place_tasks(make_step(spec), workers)) == placed


def test_short_tasks_use_the_last_slot() -> None:
    """Guards against short tasks that can't use the reserved last slot."""
    spec = StepSpec(count=4, processors_millicores=1_000)
    assert place_tasks(make_step(spec), [make_worker("w", 4_000)]) == ["w"] * 4


def test_task_limit_and_label_of_a_step_are_respected() -> None:
    """Guards against placements over the task limit or without the label."""
    spec = StepSpec(
        count=5,
        processors_millicores=100,
        tasks_per_worker_max=2,
        required_label="b",
    )
    workers = [
        make_worker("plain", 9_000, "a"),
        make_worker("b1", 1_000, "b"),
        make_worker("b2", 1_000, "b"),
    ]
    assert sorted(place_tasks(make_step(spec), workers)) == [
        "b1",
        "b1",
        "b2",
        "b2",
    ]


def test_failed_worker_is_the_last_choice() -> None:
    """Guards against a retry on a worker on which all tasks fail."""
    spec = StepSpec(count=1, processors_millicores=100)
    workers = [make_worker("bad", 64_000), make_worker("good", 1_000)]
    assert place_tasks(make_step(spec), workers, failed_workers={"bad"}) == [
        "good"
    ]
    assert place_tasks(
        make_step(spec), workers[:1], failed_workers={"bad"}
    ) == ["bad"]


def test_best_effort_tasks_avoid_interference() -> None:
    """Guards against placing a pair of images known to interfere."""
    model = TailModel()
    states = {"web": TailHistory(), "api": TailHistory()}
    for now_ms in range(0, 20_000, 500):
        use = 0.1 if now_ms % 1_000 else 0.0
        for image, headroom in (("web", 1.2 if use else 2.0), ("api", 2.0)):
            model.observe(
                (image, 0, 0),
                image,
                states[image],
                headroom,
                18,
                {"heavy": use},
                now_ms,
            )
    assert model.interference("web", "heavy") > 3 * model.interference(
        "api", "heavy"
    )
    workers = [make_worker("web", 64_000), make_worker("api", 64_000)]
    for state in workers:
        serving = make_step(
            StepSpec(
                count=1,
                processors_millicores=8_000,
                long_running=True,
                image=state.worker_id,
                tail_latency_target_ms=18,
            )
        )
        run = RunState("s.0.0.0", 1, serving.tasks[0], RunPhase.RUNNING, 0)
        state.add_run(run)
    best_effort = StepSpec(
        count=3,
        processors_millicores=7_000,
        uses_leftover_processors=True,
        image="heavy",
    )
    assert place_tasks(make_step(best_effort), workers, model) == ["api"] * 3
