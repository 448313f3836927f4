"""Workers for filling tasks."""

from sardinespool.dispatch.filling import Filling
from sardinespool.dispatch.filling import filling_demand
from testing.dispatch.support import add_running
from testing.dispatch.support import filling
from testing.dispatch.support import make_step
from testing.dispatch.support import make_worker
from testing.dispatch.support import serving
from testing.dispatch.support import taught

NOW_BOOT_MS = 20_500


def test_start_needs_room_for_full_pace() -> None:
    """Guards against the press of a start before its first pace arrives."""
    model = taught({("web", "heavy"): 9.0})
    choice = Filling(model)
    choice.begin_pass({}, NOW_BOOT_MS)
    worker = make_worker("w", 64_000)
    add_running(worker, serving("web"), "s")
    assert choice.suit(filling("heavy", 6_400), worker, False) is not None
    assert choice.suit(filling("heavy", 19_200), worker, False) is None


def test_starved_task_starts_where_it_presses() -> None:
    """Guards against a job that waits for ever for a worker it suits."""
    model = taught({("web", "heavy"): 25.0})
    choice = Filling(model)
    choice.begin_pass({}, NOW_BOOT_MS)
    worker = make_worker("w", 64_000)
    add_running(worker, serving("web"), "s")
    spec = filling("heavy", 19_200)
    assert choice.suit(spec, worker, False) is None
    assert choice.suit(spec, worker, True) is not None
    add_running(worker, filling("light", 60_000), "l")
    assert choice.suit(spec, worker, True) is None


def test_one_start_at_a_time_tries_an_untried_pair() -> None:
    """Guards against several tasks of an unknown image beside each other."""
    model = taught({("web", "known"): 0.1})
    choice = Filling(model)
    choice.begin_pass({}, NOW_BOOT_MS)
    first, second = make_worker("a", 64_000), make_worker("b", 64_000)
    for worker in (first, second):
        add_running(worker, serving("web"), f"s{worker.worker_id}")
    spec = filling("unknown")
    assert choice.suit(spec, first, False) is not None
    choice.chosen(spec, first)
    assert choice.suit(spec, first, False) is None
    assert choice.suit(spec, second, False) is None
    assert choice.suit(filling("other"), first, False) is None
    assert choice.suit(filling("known"), first, False) is not None
    choice.begin_pass({}, NOW_BOOT_MS + 1_300)
    assert choice.suit(spec, second, False) is not None


def test_harmless_tasks_take_workers_that_others_cannot_use() -> None:
    """Guards against rare workers of an image that others take up."""
    model = taught(
        {
            ("shy", "heavy"): 9.0,
            ("shy", "light"): 0.1,
            ("calm", "heavy"): 0.1,
            ("calm", "light"): 0.1,
        }
    )
    choice = Filling(model)
    waiting = [make_step(filling(image)) for image in ("heavy", "light")]
    choice.begin_pass(filling_demand(waiting), NOW_BOOT_MS)
    scores = {}
    for image in ("shy", "calm"):
        worker = make_worker(image, 64_000)
        add_running(worker, serving(image), image)
        for fill in ("heavy", "light"):
            scores[image, fill] = choice.suit(filling(fill), worker, False)
    assert scores["shy", "light"] > scores["calm", "light"]
    assert scores["calm", "heavy"] > scores["shy", "heavy"]
