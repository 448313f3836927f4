"""Subset of the simulation tests that runs with every test run."""

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
    # Guards against cells whose step the scenario no longer reaches.
    world = World(THREES, 1)
    scenario.prepare(world)
    scenario.run(world)
    assert world.step_monitor.seen_steps == set(STEPS)


def test_every_step_has_a_cell_for_every_fault() -> None:
    # Guards against a new step or fault without cells.
    covered = {(cell.step, cell.fault) for cell in matrix.cells()}
    assert {
        (step, fault) for step in STEPS for fault in faults.SINGLE
    } <= covered


@pytest.mark.parametrize(
    "cell", list(matrix.cells())[::EVERY_NTH_CELL], ids=lambda cell: cell.name
)
def test_cell(cell: matrix.Cell) -> None:
    # Guards against a fault at this step that violates a rule or liveness.
    matrix.run_cell(cell, 1)


@pytest.mark.parametrize("seed", [1, 2])
def test_schedule(seed: int) -> None:
    # Guards against faults at random times that violate a rule.
    matrix.run_schedule(seed)


@pytest.mark.parametrize("name", QUICK_MUTATIONS)
def test_mutation_is_detected(name: str) -> None:
    # Guards against an oracle that misses code which violates a rule.
    assert mutations.detect_mutation(name, 1)
