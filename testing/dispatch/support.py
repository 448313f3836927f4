"""Factories of workers, steps and runs for unit tests of the dispatcher."""

from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import headroom_of
from sardinespool.dispatch.tail_model import TailHistory
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.records import WorkflowRecord

TARGET_MS = 18
QUEUE = QueueSpec(
    name="q",
    host="h",
    prefix="/",
    pool="p",
    priority=0,
    failures_max=2,
    stretch=1.5,
    latency_objective_ms=100,
)


def make_worker(name: str, millicores: int, *labels: str) -> WorkerState:
    """Return an empty worker."""
    description = WorkerDescription(
        worker_id=name,
        incarnation=1,
        address="10.0.0.1:80",
        pool="p",
        failure_domain="centro",
        host=name,
        labels=labels,
        processors_millicores=millicores,
        memory_mb=100_000,
        accelerators=0,
    )
    return WorkerState(description, DispatchSettings(), 0)


def make_step(spec: StepSpec, job_id: str = "j") -> StepRecord:
    """Return the step of a single-step job."""
    workflow = WorkflowRecord(
        job_id, QUEUE, WorkflowSpec(payload="", steps=(spec,)), 0
    )
    return workflow.open_occurrence(0)[0]


def add_running(
    worker: WorkerState, spec: StepSpec, job_id: str, ordered_boot_ms: int = 0
) -> RunState:
    """Add a run of the first task of a new step to a worker."""
    step = make_step(spec, job_id)
    run = RunState(
        step.tasks[0].key, 1, step.tasks[0], RunPhase.RUNNING, ordered_boot_ms
    )
    worker.add_run(run)
    return run


def serving(image: str, millicores: int = 8_000) -> StepSpec:
    """Return the spec of a step with one serving task."""
    return StepSpec(
        count=1,
        processors_millicores=millicores,
        long_running=True,
        image=image,
        tail_latency_target_ms=TARGET_MS,
    )


def best_effort(
    image: str, millicores: int = 6_400, count: int = 1
) -> StepSpec:
    """Return the spec of a step of best-effort tasks."""
    return StepSpec(
        count=count,
        processors_millicores=millicores,
        uses_leftover_processors=True,
        checkpointing=True,
        image=image,
    )


def trained_model(
    interference: dict[tuple[str, str], float], headroom: float = 2.6
) -> TailModel:
    """Return a model trained on twenty seconds of reports of each pair.

    Parameters
    ----------
    interference : dict of (str, str) to float
        Interference by serving and best-effort image.
    headroom : float
        Headroom of the serving images without interference.
    """
    model = TailModel()
    histories = {pair: TailHistory() for pair in interference}
    for now_ms in range(0, 20_000, 500):
        use = 0.1 if now_ms % 1_000 else 0.0
        for (image, best_effort_image), slope in interference.items():
            tail_ms = round(TARGET_MS / (headroom - slope * use))
            model.observe(
                (image, 0, 0),
                image,
                histories[image, best_effort_image],
                headroom_of(TARGET_MS, tail_ms),
                TARGET_MS,
                {best_effort_image: use},
                now_ms,
            )
    return model
