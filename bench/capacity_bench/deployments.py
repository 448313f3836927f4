"""Sizes of the target and of both deployments of today."""

import dataclasses

DAY_S = 86_400
TARGET_WORKERS = 5_300
TARGET_JOBS_A_DAY = 89_000
TARGET_STARTS_A_SECOND = 280
TARGET_TASKS = 58_000


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment; `entries` is the number in each failure domain."""

    name: str
    domains: int
    workers: int
    entries: int
    tasks: float
    jobs_a_day: float
    starts_a_second: float
    changes_a_day: float

    @property
    def domain_workers(self) -> float:
        """Workers of one failure domain."""
        return self.workers / self.domains

    @property
    def domain_tasks(self) -> float:
        """Running tasks of one failure domain."""
        return self.tasks / self.domains

    @property
    def worker_tasks(self) -> float:
        """Running tasks of one worker."""
        return self.tasks / self.workers

    @property
    def domain_starts(self) -> float:
        """Task starts a second in one failure domain."""
        return self.starts_a_second / self.domains


def _scaled(name: str, domains: int, workers: int, entries: int) -> Deployment:
    # What the users' pages do not state is the target's, by workers.
    share = workers / TARGET_WORKERS
    return Deployment(
        name,
        domains,
        workers,
        entries,
        TARGET_TASKS * share,
        TARGET_JOBS_A_DAY * share,
        TARGET_STARTS_A_SECOND * share,
        2_600 * share,
    )


TARGET = _scaled("target", 8, TARGET_WORKERS, 3)
DEPLOYMENTS = (
    TARGET,
    _scaled("bakery school", 3, 24, 3),
    _scaled("Lillekoda", 4, 34, 2),
)
