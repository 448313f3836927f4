"""Workers, steps and runs for tests of single parts of the dispatcher."""

from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.tail_model import headroom_of
from sardinespool.dispatch.tail_model import TailModel
from sardinespool.dispatch.tail_model import TailState
from sardinespool.dispatch.worker_state import WorkerState
from sardinespool.messages.fleet import WorkerDescription
from sardinespool.messages.manifest import QueueSpec
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
        life=1,
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
    """Return the step of a job that has no other."""
    workflow = WorkflowRecord(
        job_id, QUEUE, WorkflowSpec(payload="", steps=(spec,)), 0
    )
    return workflow.open_occurrence(0)[0]


def add_running(
    worker: WorkerState, spec: StepSpec, job_id: str, ordered_boot_ms: int = 0
) -> RunState:
    """Let the first task of a step run on a worker."""
    step = make_step(spec, job_id)
    run = RunState(
        step.tasks[0].key, 1, step.tasks[0], RunPhase.RUNNING, ordered_boot_ms
    )
    worker.add_run(run)
    return run


def serving(image: str, millicores: int = 8_000) -> StepSpec:
    """Return a step with one serving task."""
    return StepSpec(
        count=1,
        processors_millicores=millicores,
        long_running=True,
        image=image,
        tail_latency_target_ms=TARGET_MS,
    )


def filling(image: str, millicores: int = 6_400, count: int = 1) -> StepSpec:
    """Return a step of filling tasks."""
    return StepSpec(
        count=count,
        processors_millicores=millicores,
        uses_leftover_processors=True,
        checkpointing=True,
        image=image,
    )


def taught(
    press: dict[tuple[str, str], float], load: float = 2.6
) -> TailModel:
    """Return a model that saw twenty seconds of reports of each pair.

    Parameters
    ----------
    press : dict of (str, str) to float
        Press by serving and filling image.
    load : float
        Headroom of the serving images with nothing beside them.
    """
    model = TailModel()
    states = {pair: TailState() for pair in press}
    for now_ms in range(0, 20_000, 500):
        use = 0.1 if now_ms % 1_000 else 0.0
        for (image, fill), value in press.items():
            tail_ms = round(TARGET_MS / (load - value * use))
            model.observe(
                (image, 0, 0),
                image,
                states[image, fill],
                headroom_of(TARGET_MS, tail_ms),
                TARGET_MS,
                {fill: use},
                now_ms,
            )
    return model
