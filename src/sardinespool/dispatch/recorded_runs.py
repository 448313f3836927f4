"""Runs that a new leader finds in the replicated state."""

from collections.abc import Mapping

from sardinespool.clock import Instant
from sardinespool.dispatch import worker_restart
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_restart import EndRun
from sardinespool.dispatch.worker_state import departed_worker
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.workflows.run_index import RunIndex


def load_runs(
    recorded: RunIndex,
    workers: Mapping[str, WorkerState],
    settings: DispatchSettings,
    end_run: EndRun,
    now: Instant,
) -> None:
    """Add the recorded runs to their workers.

    An earlier leader may have sent their orders. The runs of tasks that are
    done, and those of an earlier incarnation of their worker, are stopped.
    Those of a worker whose leave was committed end, as that leader was lost
    before it committed their ends.
    """
    for tasks_by_worker, stop_reason in (
        (recorded.assigned, ""),
        (recorded.leftover, "task is done"),
    ):
        for worker_id, tasks in tasks_by_worker.items():
            worker = workers.get(worker_id)
            for task in tasks.values():
                run = RunState(
                    task.key, task.run, task, RunPhase.ORDERED, now.boot_ms
                )
                if worker is None:
                    departed = departed_worker(worker_id, settings)
                    end_run(departed, run, "lost", Loss.LEFT.value)
                    continue
                run.sent = True
                run.unanswered = 1
                if task.incarnation != worker.description.incarnation:
                    worker.unknown_lease_end_boot_ms = (
                        worker_restart.late_lease_end_boot_ms(settings, now)
                    )
                    # The task was placed by the properties of the earlier
                    # incarnation; this one may be of another kind.
                    run.request_stop("assigned to an earlier incarnation")
                run.trial = run.run == task.trial_run
                run.pace_known = not task.step.spec.uses_leftover_processors
                if stop_reason:
                    run.request_stop(stop_reason)
                worker.add_run(run)
