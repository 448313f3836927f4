"""A share of the proof that is small enough for each run of the tests."""

import pytest

from testing.proof import faults
from testing.proof import matrix
from testing.proof import mutations
from testing.proof import scenario
from testing.proof.steps import STEPS
from testing.proof.world import THREES
from testing.proof.world import World

EVERY_NTH_CELL = 34
QUICK_MUTATIONS = (
    "skip-capacity-check",
    "forget-checkpoint",
    "answer-a-reused-key",
    "forget-record-at-begin",
    "send-after-deadline",
)


def test_every_step_happens_without_faults() -> None:
    # A step that the scenario no longer reaches would leave its cells empty.
    world = World(THREES, 1)
    scenario.prepare(world)
    scenario.run(world)
    assert world.watch.seen == set(STEPS)


def test_every_step_has_a_cell_for_every_fault() -> None:
    # A step or fault that is added without its row would not be proved.
    found = {(cell.step, cell.fault) for cell in matrix.cells()}
    assert {(s, f) for s in STEPS for f in faults.SINGLE} <= found


@pytest.mark.parametrize(
    "cell", list(matrix.cells())[::EVERY_NTH_CELL], ids=lambda cell: cell.name
)
def test_cell(cell: matrix.Cell) -> None:
    # A fault at this step breaks a rule or stops the work for good.
    matrix.run_cell(cell, 1)


@pytest.mark.parametrize("seed", [1, 2])
def test_schedule(seed: int) -> None:
    # Faults that meet at random times break a rule.
    matrix.run_schedule(seed)


@pytest.mark.parametrize("name", QUICK_MUTATIONS)
def test_mutation_is_noticed(name: str) -> None:
    # The oracle would pass over code that breaks a rule.
    assert mutations.hunt(name, 1)
