"""Cells of the fault matrix and random schedules, each one seeded run."""

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
REPAIR_STEPS = ("member-joined", "member-promoted")
"""Steps of a replaced member, which a group of two can't do."""

AFTER_CHANGES = "after-changes"
CHANGES = 150
"""Patches before a cell with `AFTER_CHANGES`; snapshots hold most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """A fault at the first occurrence of a step, or at a later one."""

    step: str
    fault: str
    shape: str = THREES.name
    option: str = ""

    @property
    def name(self) -> str:
        """Name on the command line."""
        parts = (self.shape, self.step, self.fault, self.option)
        return "/".join(part for part in parts if part)


def cells() -> Iterator[Cell]:
    """Yield every cell: each step times each fault, and the pairs."""
    for step in STEPS:
        for fault in faults.SINGLE:
            yield Cell(step, fault)
    for step in SAFETY_STEPS:
        for fault in faults.PAIRS:
            yield Cell(step, fault)
    yield Cell("member-promoted", "second-disk-lost")
    yield Cell("endpoint-leaving", "freeze-entry")
    yield Cell("request-begun", "freeze-entry")
    for shape in SHAPES:
        yield Cell("snapshot-taken", "crash-all", shape, AFTER_CHANGES)
    for step in STEPS:
        if step not in REPAIR_STEPS:
            for fault in SMALL_FAULTS:
                yield Cell(step, fault, SMALL.name)


def cell_named(name: str) -> Cell:
    shape, step, fault, *option = name.split("/")
    return Cell(step, fault, shape, *option)


def run_cell(cell: Cell, seed: int) -> World:
    """Run a cell; return the world, or raise what was found."""
    own_seed = seed * 1_000_003 + zlib.crc32(cell.name.encode())
    world = World(SHAPES[cell.shape], own_seed)
    scenario.prepare(world)
    if cell.option == AFTER_CHANGES:
        for number in range(CHANGES):
            change = scenario.limit(f"many-{number % 9}", number)
            world.operators[0].patch(change)
            world.run(40)
        world.wait(
            60_000, "many patches", lambda: not scenario.unfinished(world)
        )
    hit: list[str] = []

    def inject(host: Host, group: str) -> None:
        hit.append(host.name)
        faults.FAULTS[cell.fault](world, host, group)

    watch = world.watch
    watch.inject = inject
    watch.armed = cell.step
    watch.skip = int(cell.option) - 1 if cell.option.isdigit() else 0
    watch.proposing = (
        cell.step in COMMAND_STEPS and cell.fault == "crash-before-sync"
    )
    scenario.run(world)
    assert hit, f"the step {cell.step} did not happen"
    return world


def run_schedule(seed: int) -> World:
    """Run the scenario under a random schedule of faults."""
    generator = random.Random(seed)
    shape = THREES if generator.random() < 0.7 else SMALL
    world = World(shape, seed)
    scenario.prepare(world)
    world.network.loss = generator.choice((0.0, 0.0, 0.02, 0.1))
    world.network.duplication = generator.choice((0.0, 0.05, 0.3))
    world.network.delay_max_ms = generator.choice((3, 20, 200))
    choices = list((faults.SINGLE | faults.PAIRS).values())
    hosts = world.hosts()[: -len(world.operators)]
    for _ in range(generator.randint(2, 8)):
        host = generator.choice(hosts)
        group = generator.choice(sorted(getattr(host, "groups", {"": ()})))
        fault = generator.choice(choices)

        def apply(
            fault: faults.Fault = fault, host: Host = host, group: str = group
        ) -> None:
            if host.up:
                fault(world, host, group)

        world.engine.at(generator.randrange(scenario.RUN_MS), None, apply)
    scenario.run(world)
    return world
