"""Explanations of where a job would start, compared with its submission."""

import collections
import copy
from typing import Any

import msgspec
import pytest

from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors import SardinespoolError
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.messages.explain import ExplainPlacement
from sardinespool.messages.explain import PlacementExplanation
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.observability.logs import PrefixLogger
from testing.dispatch.simulation import HOST
from testing.dispatch.simulation import PREFIX
from testing.dispatch.simulation import Simulation
from testing.dispatch.test_near_waits import FAR
from testing.dispatch.test_near_waits import make_racks
from testing.dispatch.test_near_waits import NEAR
from testing.dispatch.test_near_waits import task

KEY_DIGEST = b"k" * 32


def explain(
    simulation: Simulation, *steps: StepSpec, path: str = "new"
) -> dict[str, Any]:
    request = ExplainPlacement(
        host=HOST,
        path=PREFIX + path,
        spec=WorkflowSpec(payload="text", steps=steps),
        key_digest=KEY_DIGEST,
    )
    lines: list[str] = []

    def write(logger: PrefixLogger, text: str, /, **fields: object) -> None:
        lines.append(text)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(PrefixLogger, "info", write)
        outcome = simulation.service.handle(request, simulation.now())
    assert not lines
    assert isinstance(outcome, ImmediateReply)
    assert isinstance(outcome.reply, PlacementExplanation)
    answer: dict[str, Any] = msgspec.json.decode(outcome.reply.json)
    return answer


def state(simulation: Simulation) -> object:
    """Return what a dry run could change."""
    fleet, planner = simulation.dispatcher.fleet, simulation.dispatcher.planner
    return copy.deepcopy(
        (
            simulation.machine.snapshot(),
            [
                (worker.free_millicores, worker.free_memory_mb, key, ends)
                for worker in fleet.workers.values()
                for key, run in worker.runs.items()
                for ends in [run.expected_ends_boot_ms]
            ],
            vars(fleet.limits.usage),
            sorted(simulation.machine.table.ready),
            planner.order._waiting_since,
            planner.near._since,
            vars(simulation.service._admission._returns),
            simulation.service._admission._proposed,
        )
    )


SHORT = StepSpec(
    count=6, processors_millicores=700, memory_mb=100, expected_run_ms=900
)


def check_starts(simulation: Simulation, *steps: StepSpec) -> Any:
    """Compare the explanation with the next pass; return its steps."""
    before = state(simulation)
    explained = explain(simulation, *steps)["steps"]
    assert state(simulation) == before
    spec = WorkflowSpec(payload="text", steps=steps)
    path = PREFIX + "new"
    simulation.request(
        SubmitWorkflow(host=HOST, path=path, spec=spec, key_digest=KEY_DIGEST)
    )
    record = simulation.machine.table.ready["new", 0, 0]
    planner = simulation.dispatcher.planner
    if record.spec.tail_latency_target_ms:
        planner.order.skip_batch_window(record, simulation.now())
    planner.request_pass()
    _, planned = planner.assign(simulation.now())
    starts = collections.Counter(
        worker.worker_id for worker, run in planned if run.step is record
    )
    waiting = record.spec.count - starts.total()
    assert explained[0]["starts"] == dict(starts)
    assert explained[0]["waiting"] == waiting
    assert bool(explained[0]["reason"]) == bool(waiting)
    if explained[0]["reason"] == "no worker is free and suitable":
        after = explained[0]["excluded_after_pass"]
        assert sum(after.values()) == len(simulation.workers)
    return explained


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"count": 60},
        {"gang": True},
        {"gang": True, "count": 60},
        {"tasks_per_worker_max": 1},
        {"required_label": "missing"},
        {"memory_mb": 10_000_000},
        {"uses_leftover_processors": True},
        {"long_running": True, "count": 40},
        {"data_rack": "missing"},
        {"tail_latency_target_ms": 50, "long_running": True},
    ],
    ids=str,
)
@pytest.mark.parametrize("load", [0, 9])
def test_starts_as_explained(changes: dict[str, Any], load: int) -> None:
    """Guards against a plan other than that of the next pass, or effects."""
    simulation = Simulation(3)
    simulation.run(3_000)
    if load:
        simulation.submit("load", msgspec.structs.replace(SHORT, count=load))
        simulation.run(200)
    step = msgspec.structs.replace(SHORT, **changes)
    _, second = check_starts(simulation, step, StepSpec(count=1, after=(0,)))
    assert second["reason"] == "earlier steps must complete first"


def test_wait_for_near_worker() -> None:
    """Guards against a wait that a dry run begins or does not tell."""
    simulation, _ = make_racks(3.0, NEAR, FAR)
    simulation.submit("first", task(4))
    simulation.run(300)
    (step,) = check_starts(simulation, task())
    assert step["reason"] == "waits for a worker near its data"
    assert step["excluded_workers"] == {"too few free processors": 1}


@pytest.mark.parametrize(
    ("case", "reason", "excluded"),
    [
        ("down", "no worker accepts starts", {"worker does not answer": 4}),
        (
            "evacuated",
            "no worker accepts starts",
            {"failure domain evacuated": 4},
        ),
        (
            "label",
            "no worker is free and suitable",
            {"lacks the required label": 4},
        ),
        ("none", "the pool has no worker", {}),
    ],
)
def test_reasons(case: str, reason: str, excluded: dict[str, int]) -> None:
    """Guards against waits that are explained by another cause."""
    simulation = Simulation(3, workers=0 if case == "none" else 4)
    simulation.run(3_000)
    step = SHORT
    if case == "down":
        for worker in simulation.dispatcher.fleet.workers.values():
            worker.answered = False
    if case == "evacuated":
        for worker in simulation.dispatcher.fleet.workers.values():
            domain = worker.description.failure_domain
            simulation.machine.evacuated.add(domain)
    if case == "label":
        step = msgspec.structs.replace(SHORT, required_label="missing")
    (explained,) = explain(simulation, step)["steps"]
    assert explained["reason"] == reason
    assert explained["excluded_workers"] == excluded


@pytest.mark.parametrize(
    ("limit_millicores", "fitting"), [(600, 1), (700, 1), (2_500, 3), (0, 6)]
)
def test_limit_of_workspace(limit_millicores: int, fitting: int) -> None:
    """Guards against starts that the limit of the workspace forbids.

    A start may exceed a limit of which less than half is in use.
    """
    simulation = Simulation(3)
    current = simulation.machine.manifest.current
    assert current is not None
    limited = WorkspaceSpec(
        name="a",
        key_digests=(KEY_DIGEST,),
        processors_millicores_max=limit_millicores,
    )
    simulation.request_applied(
        msgspec.structs.replace(current, version=2, workspaces=(limited,))
    )
    simulation.run(3_000)
    (step,) = check_starts(simulation, SHORT)
    assert sum(step["starts"].values()) == fitting
    assert (step["reason"] == "limit of the workspace") == bool(
        limit_millicores
    )


@pytest.mark.parametrize(
    ("path", "step"),
    [
        ("bad-id", SHORT),
        ("new", StepSpec(count=0)),
        ("new", StepSpec(count=1, after=(5,))),
        ("new", StepSpec(count=1, memory_mb=10**9)),
    ],
)
def test_same_errors(path: str, step: StepSpec) -> None:
    """Guards against a dry run that accepts what a submission does not."""
    simulation = Simulation(3, settings=DispatchSettings(admission=True))
    simulation.run(9_000)
    spec = WorkflowSpec(payload="text", steps=(step,))
    errors = []
    before = state(simulation)
    for kind in (ExplainPlacement, SubmitWorkflow):
        request = kind(host=HOST, path=PREFIX + path, spec=spec)
        with pytest.raises(SardinespoolError) as caught:
            simulation.service.handle(request, simulation.now())
        errors.append((type(caught.value), caught.value.details))
        if kind is ExplainPlacement:
            assert state(simulation) == before
    assert errors[0] == errors[1]
