"""Tests of the settings files of the demonstration and the examples."""

import pathlib

import pytest

from demo.settings_files import write_settings
from demo.shape import DeploymentShape
from demo.shape import SHAPES
from demo.shape import with_worker_count
from sardinespool.settings.loading import load_settings
from sardinespool.settings.model import EntrySettings
from sardinespool.settings.model import OperatorSettings
from sardinespool.settings.model import SchedulerSettings
from sardinespool.settings.model import Settings
from sardinespool.settings.model import StoreSettings

SETTINGS_TYPES: dict[str, type[Settings]] = {
    "store": StoreSettings,
    "entry": EntrySettings,
    "scheduler": SchedulerSettings,
    "operator": OperatorSettings,
}
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
def test_written_settings_are_valid(
    shape: DeploymentShape, tmp_path: pathlib.Path
) -> None:
    """Guards against settings with which a program fails to start."""
    plan = write_settings(shape, tmp_path)
    for program in ("store", "entry", "scheduler"):
        for process in plan.processes_of(program):
            load_settings(process.arguments[-1], SETTINGS_TYPES[program])
    addresses = {process.address for process in plan.processes}
    assert len(addresses) == len(plan.processes)
    assert len(plan.processes_of("worker")) == shape.worker_count


@pytest.mark.parametrize(("total", "counts"), [(4, [2, 1, 1]), (3, [1] * 3)])
def test_worker_count_is_spread_over_domains(
    total: int, counts: list[int]
) -> None:
    """Guards against a failure domain without workers."""
    shape = with_worker_count(SHAPES["bakery"], total)
    assert [domain.workers for domain in shape.domains] == counts


@pytest.mark.parametrize(
    "file",
    sorted(EXAMPLES.glob("*/*.yaml")),
    ids=lambda file: f"{file.parent.name}-{file.name}",
)
def test_examples_are_valid(file: pathlib.Path) -> None:
    """Guards against example settings that the programs reject."""
    program = file.stem.split("-")[0]
    if program in SETTINGS_TYPES:
        load_settings(file, SETTINGS_TYPES[program])
    else:
        assert program in ("cluster", "changes", "job")
