"""Choice of workers for the tasks of one step."""

import pytest

from sardinespool.dispatch.filling import Filling
from sardinespool.dispatch.placing import Placing
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.tail_model import TailState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.workflows import StepSpec
from sardinespool.workflows.records import StepRecord
from testing.dispatch.support import make_step
from testing.dispatch.support import make_worker


def place(
    record: StepRecord,
    workers: list[WorkerState],
    model: TailModel | None = None,
    shunned: set[str] = frozenset(),  # type: ignore[assignment]
) -> list[str]:
    """Place all tasks of a step; return the worker of each."""
    filling = Filling(model or TailModel())
    filling.begin_pass({}, 20_000)
    placing = Placing(workers, filling)
    places = placing.workers_for(record, False, set(shunned))
    chosen = []
    for task in record.tasks:
        found = next(places, None)
        if found is None:
            break
        found.add_run(RunState(task.key, 1, task, RunPhase.ORDERED, 0))
        chosen.append(found.worker_id)
    return chosen


@pytest.mark.parametrize(
    ("rooms", "placed"),
    [((4_000,), 3), ((2_000, 2_000), 3), ((1_000, 1_000), 1), ((1_000,), 0)],
)
def test_long_running_tasks_take_all_but_the_last_place(
    rooms: tuple[int, ...], placed: int
) -> None:
    """Guards against a long-running task that waits beside two places."""
    spec = StepSpec(count=4, processors_millicores=1_000, long_running=True)
    workers = [make_worker(f"w{i}", room) for i, room in enumerate(rooms)]
    assert len(place(make_step(spec), workers)) == placed


def test_short_tasks_take_the_last_place() -> None:
    """Guards against a place that is kept from those it is kept for."""
    spec = StepSpec(count=4, processors_millicores=1_000)
    assert place(make_step(spec), [make_worker("w", 4_000)]) == ["w"] * 4


def test_limits_of_a_step_hold() -> None:
    """Guards against too many tasks on a worker, or one without the label."""
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
    assert sorted(place(make_step(spec), workers)) == ["b1", "b1", "b2", "b2"]


def test_worker_where_a_task_failed_is_the_last_choice() -> None:
    """Guards against a retry on the worker that fails everything."""
    spec = StepSpec(count=1, processors_millicores=100)
    workers = [make_worker("bad", 64_000), make_worker("good", 1_000)]
    assert place(make_step(spec), workers, shunned={"bad"}) == ["good"]
    assert place(make_step(spec), workers[:1], shunned={"bad"}) == ["bad"]


def test_filling_tasks_go_where_they_do_not_press() -> None:
    """Guards against tails over their target by a known bad pair."""
    model = TailModel()
    states = {"web": TailState(), "api": TailState()}
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
    assert model.press("web", "heavy") > 3 * model.press("api", "heavy")
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
    filling = StepSpec(
        count=3,
        processors_millicores=7_000,
        uses_leftover_processors=True,
        image="heavy",
    )
    assert place(make_step(filling), workers, model) == ["api"] * 3
