"""The decision on a start, and its use by the replicated state."""

import pytest

from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import AcceptWorkflow
from sardinespool.messages.workflows import Assignment
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import RunEnd
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.workflows.snapshot import restore_workflow
from sardinespool.workflows.snapshot import snapshot_of
from sardinespool.workflows.table import WorkflowTable
from sardinespool.workspaces.limits import may_start
from sardinespool.workspaces.usage import Resources
from testing.workflows.support import QUEUE

LIMIT = (1_000, 100, None)


@pytest.mark.parametrize(
    ("in_use", "need", "gang_size", "allowed"),
    [
        ((600, 0, 9), (400, 0, 9), 0, True),
        ((600, 0, 0), (401, 0, 0), 0, False),
        ((499, 0, 0), (9_000, 0, 0), 0, True),
        ((500, 0, 0), (9_000, 0, 0), 0, False),
        ((0, 60, 0), (1, 41, 0), 0, False),
        ((1_200, 0, 0), (0, 1, 0), 0, False),
        ((200, 0, 0), (400, 0, 0), 2, True),
        ((201, 0, 0), (400, 0, 0), 2, False),
        ((0, 0, 0), (9_000, 0, 0), 1, False),
    ],
)
def test_each_limited_resource_decides(
    in_use: tuple[int, int, int],
    need: tuple[int, int, int],
    gang_size: int,
    allowed: bool,
) -> None:
    """Guards against starts above a limit, and tasks that never start."""
    start = may_start(Resources(*in_use), Resources(*need), LIMIT, gang_size)
    assert start is allowed


class Group:
    """A table with one job of workspace `a`, whose limit is 1,000."""

    def __init__(self, count: int, gang: bool = False) -> None:
        self.table = WorkflowTable()
        spec = StepSpec(count=count, processors_millicores=400, gang=gang)
        later = StepSpec(count=1, after=(0,))
        self.table.accept(
            AcceptWorkflow(
                job_id="j",
                queue="q",
                spec=WorkflowSpec(payload="", steps=(spec, later)),
                workspace="a",
            ),
            QUEUE,
            0,
        )

    def record(self, **changes: object) -> tuple[int, ...]:
        limit = WorkspaceSpec(name="a", processors_millicores_max=1_000)
        body = RecordRuns(**changes)  # type: ignore[arg-type]
        return self.table.record_runs(
            body, 0, lambda workflow: 3, {"a": limit}
        ).refused

    def assign(self, *runs: tuple[int, int]) -> tuple[int, ...]:
        return self.record(
            assignments=tuple(
                Assignment(f"j.0.0.{index}", run, "w", 1)
                for index, run in runs
            )
        )


@pytest.mark.parametrize(
    ("count", "gang", "runs", "refused"),
    [
        (4, False, [(0, 1), (1, 1), (2, 1), (3, 1)], (2, 3)),
        (3, True, [(0, 1), (1, 1), (2, 1)], (0, 1, 2)),
        (2, True, [(0, 1), (1, 1)], ()),
        (2, True, [(0, 1)], (0,)),
        (2, True, [(0, 1), (1, 0)], (0, 1)),
    ],
)
def test_table_refuses_what_exceeds_the_limit(
    count: int, gang: bool, runs: list[tuple[int, int]], refused: object
) -> None:
    """Guards against a plan that a lowered limit overtook, and half gangs."""
    assert Group(count, gang).assign(*runs) == refused


@pytest.mark.parametrize("restored", [False, True])
def test_runs_that_outlive_their_task_count(restored: bool) -> None:
    """Guards against a second gang beside the members that still run."""
    group = Group(2, gang=True)
    table = group.table
    group.assign((0, 1), (1, 1))
    group.record(ends=(RunEnd("j.0.0.0", 1, "done"),))
    if restored:
        (workflow,) = table.workflows.values()
        table.workflows = {"j": restore_workflow(snapshot_of(workflow))}
        table.rebuild_indexes()
    assert not table.assigned
    assert list(table.runs.leftover["w"]) == ["j.0.0.1"]
    assert table.usage.of("a") == (400, 0, 0)
    for _ in range(2):
        group.record(ends=(RunEnd("j.0.0.1", 1, "stopped"),))
        assert table.usage.tasks_of("a") == 0
    assert not table.runs.leftover
