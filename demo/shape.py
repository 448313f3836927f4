"""Shapes of the two deployments that the demonstration can start."""

import dataclasses

WORKERS_PER_RACK = 8


@dataclasses.dataclass(frozen=True, slots=True)
class DomainShape:
    """Number of processes by kind in one failure domain."""

    name: str
    stores: int
    entries: int
    workers: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentShape:
    """Shape of a deployment.

    `can_replace_lost_data` is true if a store can be replaced by one with an
    empty data folder. A group of two members has no quorum to remove the
    member whose disk was lost, so its stores must restart with their data.
    """

    name: str
    domains: tuple[DomainShape, ...]
    global_members: int
    service: str
    team: str
    processors_millicores: int
    memory_mb: int
    can_replace_lost_data: bool
    throttle_above: float

    @property
    def domain_names(self) -> tuple[str, ...]:
        """Names of the failure domains."""
        return tuple(domain.name for domain in self.domains)

    @property
    def worker_count(self) -> int:
        """Number of workers in all failure domains."""
        return sum(domain.workers for domain in self.domains)


SHAPES = {
    "bakery": DeploymentShape(
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
        can_replace_lost_data=True,
        throttle_above=2.5,
    ),
    "lillekoda": DeploymentShape(
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
        can_replace_lost_data=False,
        throttle_above=1.5,
    ),
}


def with_worker_count(shape: DeploymentShape, total: int) -> DeploymentShape:
    """Return the shape with `total` workers spread evenly over its domains."""
    workers_per_domain, remainder = divmod(total, len(shape.domains))
    return dataclasses.replace(
        shape,
        domains=tuple(
            dataclasses.replace(
                domain, workers=workers_per_domain + (index < remainder)
            )
            for index, domain in enumerate(shape.domains)
        ),
    )
