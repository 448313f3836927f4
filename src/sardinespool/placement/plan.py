"""Decisions of one planning pass."""

import dataclasses

from sardinespool.messages.tasks import Placement
from sardinespool.messages.tasks import Throttle


@dataclasses.dataclass(frozen=True, slots=True)
class Eviction:
    """A task to checkpoint and stop."""

    task_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailure:
    """A queued task to fail because its job failed on several workers."""

    task_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnplaceableJob:
    """A job whose tasks exceed every worker or the quota of the team."""

    job_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Decisions of one planning pass, most important first."""

    placements: tuple[Placement, ...] = ()
    evictions: tuple[Eviction, ...] = ()
    throttles: tuple[Throttle, ...] = ()
    failures: tuple[TaskFailure, ...] = ()
    unplaceable: tuple[UnplaceableJob, ...] = ()
