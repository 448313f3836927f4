"""Tests of the evidence that is collected when a worker's process ends."""

import pytest

from sardinespool.clock import Instant
from sardinespool.dispatch.crash_recorder import CrashRecorder
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.messages.workflows import StepSpec
from sardinespool.observability.metrics import Metrics
from testing.dispatch.support import add_running
from testing.dispatch.support import make_worker


@pytest.mark.parametrize(
    ("other_answers", "is_crash"), [(False, False), (True, True)]
)
def test_worker_that_answers_again_is_in_no_outage(
    other_answers: bool, is_crash: bool
) -> None:
    """Guards against a late answer of one worker hiding another's crash."""
    recorder = CrashRecorder(DispatchMetrics(Metrics("controller", "a")))
    worker = make_worker("w", 4_000)
    other = make_worker("other", 4_000)
    run = add_running(worker, StepSpec(count=1), "j")
    run.sent = True
    recorder.note_silence(other, Instant(0, 1_000))
    if other_answers:
        recorder.note_answer(other)
    recorder.note_silence(worker, Instant(1_000, 2_000))
    recorder.process_ended(worker, Loss.HOST_REUSED, 2)
    assert bool(run.crash) is is_crash
