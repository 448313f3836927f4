"""Predicted times of the paths of a job, from learned run times."""

from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.run_times import RunTimes
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.workflows.critical_path import path_times
from sardinespool.workflows.critical_path import PathTimes
from sardinespool.workflows.records import WorkflowRecord
from sardinespool.workflows.work_share import STEPS_PER_CHANGE

FORECASTS_MAX = 1_000
"""Kinds of steps of a job whose times are forecast, each in 20 us; the others
take their declared time."""


def learn_from_run(
    run_times: RunTimes, run: RunState, end_clock_ms: int
) -> None:
    """Learn from a run that is done, if its duration is known.

    Parameters
    ----------
    run_times : RunTimes
        Learned run times.
    run : RunState
        The run.
    end_clock_ms : int
        Reading of the worker's clock when it listed the end.
    """
    run_ms = run.measure_ms(end_clock_ms)
    if run_ms is None or run.step is None:
        return
    workflow = run.step.workflow
    # Only what a near run would have taken compares between runs.
    run_times.observe(
        workflow.job_id,
        workflow.queue.name,
        run.step.spec,
        max(1, round(run_ms / run.slowdown)),
    )
    workflow.unpredicted_ends += 1
    if workflow.unpredicted_ends > workflow.extent // STEPS_PER_CHANGE:
        predict_paths(run_times, workflow)


def predict_paths(run_times: RunTimes, workflow: WorkflowRecord) -> None:
    """Set the predicted times of a job that has not ended."""
    workflow.unpredicted_ends = 0
    if not workflow.is_final:
        workflow.predicted = paths_of(
            run_times, workflow.job_id, workflow.queue.name, workflow.spec
        )


def paths_of(
    run_times: RunTimes,
    job_id: str,
    queue: str,
    spec: WorkflowSpec,
    spreads: float = 0.0,
) -> PathTimes:
    """Return the predicted times of a job that may not be stored yet.

    Parameters
    ----------
    run_times : RunTimes
        Learned run times.
    job_id : str
        Id of the job.
    queue : str
        Name of its queue.
    spec : WorkflowSpec
        The job.
    spreads : float
        See `RunTimeForecast.last_of_ms`.
    """
    known: dict[tuple[int, str, bool, int], tuple[float, float]] = {}
    steps_ms: list[float] = []
    tasks_ms: list[float] = []
    for step in spec.steps:
        kind = (
            step.expected_run_ms,
            step.image,
            step.long_running,
            step.count,
        )
        times = known.get(kind)
        if times is None and len(known) < FORECASTS_MAX:
            forecast = run_times.forecast(job_id, queue, step)
            times = known[kind] = (
                forecast.last_of_ms(step.count, spreads),
                forecast.mean_ms,
            )
        step_ms, task_ms = times or (step.expected_run_ms,) * 2
        steps_ms.append(step_ms)
        tasks_ms.append(task_ms)
    return path_times(spec, steps_ms, tasks_ms)
