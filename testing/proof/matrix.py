"""Fault matrix of steps and faults, and random fault schedules.

Each cell and each schedule is one seeded simulation run.
"""

import dataclasses
import random
import zlib
from collections.abc import Iterator

from testing.proof import faults
from testing.proof import scenario
from testing.proof.engine import Host
from testing.proof.steps import COMMAND_STEPS
from testing.proof.steps import STEPS
from testing.proof.world import SHAPES
from testing.proof.world import SMALL
from testing.proof.world import THREES
from testing.proof.world import World

SAFETY_STEPS = (
    "patch-approved",
    "configuration-adopted",
    "permit-given",
    "task-placed",
    "start-delivered",
    "task-stopped",
    "task-completed",
    "lease-ended",
    "request-begun",
    "outcome-stored",
    "snapshot-taken",
    "member-promoted",
)
SMALL_FAULTS = ("crash-before-sync", "crash-after-sync", "cut", "freeze")
REPLACEMENT_STEPS = ("member-joined", "member-promoted")
"""Steps of a member replacement, which groups of two or one can't reach."""

AFTER_CHANGES = "after-changes"
PATCH_COUNT = 150
"""Patches before a cell with `AFTER_CHANGES`; snapshots cover most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """A fault at a step's first occurrence or, with `option`, a later one."""

    step: str
    fault: str
    shape: str = THREES.name
    option: str = ""

    @property
    def name(self) -> str:
        """Name of the cell on the command line."""
        parts = (self.shape, self.step, self.fault, self.option)
        return "/".join(part for part in parts if part)


def cells() -> Iterator[Cell]:
    """Yield all cells: steps by single faults, and fault combinations."""
    for step in STEPS:
        for fault in faults.SINGLE:
            yield Cell(step, fault)
    for step in SAFETY_STEPS:
        for fault in faults.COMBINED:
            yield Cell(step, fault)
    yield Cell("member-promoted", "second-disk-lost")
    yield Cell("endpoint-leaving", "freeze-entry")
    yield Cell("request-begun", "freeze-entry")
    for shape in SHAPES:
        yield Cell("snapshot-taken", "crash-all", shape, AFTER_CHANGES)
    for step in STEPS:
        if step not in REPLACEMENT_STEPS:
            for fault in SMALL_FAULTS:
                yield Cell(step, fault, SMALL.name)


def parse_cell(name: str) -> Cell:
    shape, step, fault, *option = name.split("/")
    return Cell(step, fault, shape, *option)


def run_cell(cell: Cell, seed: int) -> World:
    """Run a cell and return the world; raise if a check fails."""
    cell_seed = seed * 1_000_003 + zlib.crc32(cell.name.encode())
    world = World(SHAPES[cell.shape], cell_seed)
    scenario.prepare(world)
    if cell.option == AFTER_CHANGES:
        for number in range(PATCH_COUNT):
            change = scenario.limit(f"many-{number % 9}", number)
            world.operators[0].patch(change)
            world.run(40)
        world.wait(
            60_000,
            "approval of the patches",
            lambda: not scenario.count_unfinished_actions(world),
        )
    fault_hosts: list[str] = []

    def inject(host: Host, group: str) -> None:
        fault_hosts.append(host.name)
        faults.FAULTS[cell.fault](world, host, group)

    monitor = world.step_monitor
    monitor.inject = inject
    monitor.fault_step = cell.step
    monitor.skip_count = int(cell.option) - 1 if cell.option.isdigit() else 0
    monitor.before_sync = (
        cell.step in COMMAND_STEPS and cell.fault == "crash-before-sync"
    )
    scenario.run(world)
    assert fault_hosts, f"step {cell.step} did not occur"
    return world


def run_schedule(seed: int) -> World:
    """Run the scenario under a random schedule of faults."""
    rng = random.Random(seed)
    shape = THREES if rng.random() < 0.7 else SMALL
    world = World(shape, seed)
    scenario.prepare(world)
    world.network.loss = rng.choice((0.0, 0.0, 0.02, 0.1))
    world.network.duplication = rng.choice((0.0, 0.05, 0.3))
    world.network.delay_max_ms = rng.choice((3, 20, 200))
    fault_choices = list((faults.SINGLE | faults.COMBINED).values())
    hosts = world.hosts()[: -len(world.operators)]
    for _ in range(rng.randint(2, 8)):
        host = rng.choice(hosts)
        group = rng.choice(sorted(getattr(host, "groups", {"": ()})))
        fault = rng.choice(fault_choices)

        def inject(
            fault: faults.Fault = fault, host: Host = host, group: str = group
        ) -> None:
            if host.up:
                fault(world, host, group)

        world.engine.call_later(rng.randrange(scenario.RUN_MS), None, inject)
    scenario.run(world)
    return world
