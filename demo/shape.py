"""Sizes of the two deployments that the demonstration starts."""

import dataclasses

WORKERS_PER_RACK = 8


@dataclasses.dataclass(frozen=True, slots=True)
class DomainShape:
    """Numbers of processes in one failure domain."""

    name: str
    stores: int
    entries: int
    workers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """One deployment.

    `replace_with_empty_folder` tells whether a store can be replaced without
    its data. A group of two members has no quorum to remove a lost disk, so
    there the store restarts with its folder.
    """

    name: str
    domains: tuple[DomainShape, ...]
    global_members: int
    service: str
    team: str
    processors_millicores: int
    memory_mb: int
    replace_with_empty_folder: bool
    throttle_above: float

    @property
    def domain_names(self) -> tuple[str, ...]:
        """Names of the failure domains."""
        return tuple(domain.name for domain in self.domains)

    @property
    def worker_count(self) -> int:
        """Workers of all failure domains."""
        return sum(domain.workers for domain in self.domains)


SHAPES = {
    "bakery": Shape(
        name="bakery",
        domains=tuple(
            DomainShape(name, stores=3, entries=3, workers=8)
            for name in ("centro", "norte", "sur")
        ),
        global_members=3,
        service="enrolment",
        team="scholarships",
        processors_millicores=64_000,
        memory_mb=250_000,
        replace_with_empty_folder=True,
        throttle_above=2.5,
    ),
    "lillekoda": Shape(
        name="lillekoda",
        domains=(
            DomainShape("tallinn-1", stores=2, entries=2, workers=9),
            DomainShape("tallinn-2", stores=2, entries=2, workers=9),
            DomainShape("tartu", stores=2, entries=2, workers=8),
            DomainShape("parnu", stores=1, entries=1, workers=8),
        ),
        global_members=3,
        service="customer-records",
        team="campaigns",
        processors_millicores=16_000,
        memory_mb=62_000,
        replace_with_empty_folder=False,
        throttle_above=1.5,
    ),
}


def with_workers(shape: Shape, total: int) -> Shape:
    """Return the shape with `total` workers, spread over its domains."""
    share, rest = divmod(total, len(shape.domains))
    return dataclasses.replace(
        shape,
        domains=tuple(
            dataclasses.replace(domain, workers=share + (index < rest))
            for index, domain in enumerate(shape.domains)
        ),
    )
