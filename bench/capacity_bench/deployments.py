"""Sizes of the target and of the two current deployments."""

import dataclasses

SECONDS_PER_DAY = 86_400
TARGET_WORKERS = 5_300
TARGET_JOBS_PER_DAY = 89_000
TARGET_STARTS_PER_SECOND = 280
TARGET_TASKS = 58_000


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Size of a deployment; `entries` is the number in each failure domain."""

    name: str
    domains: int
    workers: int
    entries: int
    tasks: float
    jobs_per_day: float
    starts_per_second: float
    changes_per_day: float

    @property
    def domain_workers(self) -> float:
        """Workers per failure domain."""
        return self.workers / self.domains

    @property
    def domain_tasks(self) -> float:
        """Running tasks per failure domain."""
        return self.tasks / self.domains

    @property
    def worker_tasks(self) -> float:
        """Running tasks per worker."""
        return self.tasks / self.workers

    @property
    def domain_starts(self) -> float:
        """Task starts per second and failure domain."""
        return self.starts_per_second / self.domains


def _scaled_to_workers(
    name: str, domains: int, workers: int, entries: int
) -> Deployment:
    # Loads that the users' pages don't give are the target's, by workers.
    share = workers / TARGET_WORKERS
    return Deployment(
        name,
        domains,
        workers,
        entries,
        TARGET_TASKS * share,
        TARGET_JOBS_PER_DAY * share,
        TARGET_STARTS_PER_SECOND * share,
        2_600 * share,
    )


TARGET = _scaled_to_workers("target", 8, TARGET_WORKERS, 3)
DEPLOYMENTS = (
    TARGET,
    _scaled_to_workers("bakery school", 3, 24, 3),
    _scaled_to_workers("Lillekoda", 4, 34, 2),
)
