"""Scoring of workers for best-effort tasks."""

from sardinespool.dispatch.best_effort import best_effort_demand
from sardinespool.dispatch.best_effort import BestEffortScorer
from testing.dispatch.support import add_running
from testing.dispatch.support import best_effort
from testing.dispatch.support import make_step
from testing.dispatch.support import make_worker
from testing.dispatch.support import serving
from testing.dispatch.support import trained_model

NOW_BOOT_MS = 20_500


def test_start_needs_headroom_for_full_pace() -> None:
    """Guards against interference by a start before its first pace change."""
    model = trained_model({("web", "heavy"): 9.0})
    scorer = BestEffortScorer(model)
    scorer.begin_pass({}, NOW_BOOT_MS)
    worker = make_worker("w", 64_000)
    add_running(worker, serving("web"), "s")
    assert (
        scorer.score_worker(best_effort("heavy", 6_400), worker, False)
        is not None
    )
    assert (
        scorer.score_worker(best_effort("heavy", 19_200), worker, False)
        is None
    )


def test_starved_task_starts_despite_interference() -> None:
    """Guards against a job that waits forever for a suitable worker."""
    model = trained_model({("web", "heavy"): 25.0})
    scorer = BestEffortScorer(model)
    scorer.begin_pass({}, NOW_BOOT_MS)
    worker = make_worker("w", 64_000)
    add_running(worker, serving("web"), "s")
    spec = best_effort("heavy", 19_200)
    assert scorer.score_worker(spec, worker, False) is None
    assert scorer.score_worker(spec, worker, True) is not None
    add_running(worker, best_effort("light", 60_000), "l")
    assert scorer.score_worker(spec, worker, True) is None


def test_uncertain_pair_is_measured_by_one_start_at_a_time() -> None:
    """Guards against measuring a pair with several tasks at once."""
    model = trained_model({("web", "known"): 0.1})
    scorer = BestEffortScorer(model)
    scorer.begin_pass({}, NOW_BOOT_MS)
    first, second = make_worker("a", 64_000), make_worker("b", 64_000)
    for worker in (first, second):
        add_running(worker, serving("web"), f"s{worker.worker_id}")
    spec = best_effort("unknown")
    assert scorer.score_worker(spec, first, False) is not None
    scorer.record_start(spec, first)
    assert scorer.score_worker(spec, first, False) is None
    assert scorer.score_worker(spec, second, False) is None
    assert scorer.score_worker(best_effort("other"), first, False) is None
    assert scorer.score_worker(best_effort("known"), first, False) is not None
    scorer.begin_pass({}, NOW_BOOT_MS + 1_300)
    assert scorer.score_worker(spec, second, False) is not None


def test_harmless_tasks_prefer_workers_others_cannot_use() -> None:
    """Guards against harmless tasks that take the only suitable workers."""
    model = trained_model(
        {
            ("sensitive", "heavy"): 9.0,
            ("sensitive", "light"): 0.1,
            ("robust", "heavy"): 0.1,
            ("robust", "light"): 0.1,
        }
    )
    scorer = BestEffortScorer(model)
    waiting_steps = [
        make_step(best_effort(image)) for image in ("heavy", "light")
    ]
    scorer.begin_pass(best_effort_demand(waiting_steps), NOW_BOOT_MS)
    scores = {}
    for image in ("sensitive", "robust"):
        worker = make_worker(image, 64_000)
        add_running(worker, serving(image), image)
        for best_effort_image in ("heavy", "light"):
            scores[image, best_effort_image] = scorer.score_worker(
                best_effort(best_effort_image), worker, False
            )
    assert scores["sensitive", "light"] > scores["robust", "light"]
    assert scores["robust", "heavy"] > scores["sensitive", "heavy"]
