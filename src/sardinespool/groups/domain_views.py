"""Replies that a domain group's leader builds from its own state."""

import heapq

from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.capacity import SlotGrant
from sardinespool.messages.jobs import Job
from sardinespool.messages.tasks import ListTasks
from sardinespool.messages.tasks import PlacementResult
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import PlaceTasksReply
from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import TaskList
from sardinespool.messages.tasks import WorkerList
from sardinespool.messages.tasks import WorkerView
from sardinespool.tasks.leases import LeaseTable
from sardinespool.tasks.observations import Observations
from sardinespool.tasks.queue_window import queue_window
from sardinespool.tasks.views import planning_view
from sardinespool.tasks.views import task_view
from sardinespool.tasks.views import worker_view


def worker_views(
    machine: DomainMachine, leases: LeaseTable, observations: Observations
) -> tuple[WorkerView, ...]:
    """Return a view of each worker, sorted by id."""
    return tuple(
        worker_view(
            worker,
            machine.failure_domain,
            leases.deadline_unix_ms(worker.worker_id),
            observations.request_latency_p99_ms(worker.worker_id),
        )
        for worker in machine.workers.ordered()
    )


def worker_list(
    machine: DomainMachine, leases: LeaseTable, observations: Observations
) -> WorkerList:
    """Return the reply to `ListWorkers`."""
    return WorkerList(workers=worker_views(machine, leases, observations))


def scheduling_view(
    machine: DomainMachine,
    leases: LeaseTable,
    observations: Observations,
    start_permit_deadline_unix_ms: int,
    now_unix_ms: int,
) -> SchedulingView:
    """Return active tasks, a window of the queue, workers and quotas."""
    table = machine.tasks
    active_tasks = table.in_state("placed", "running", "stopping")
    active_tasks += queue_window(table, now_unix_ms)
    job_cache: dict[str, Job] = {}
    return SchedulingView(
        failure_domain=machine.failure_domain,
        in_service=machine.in_service,
        # A restriction blocks starts only; running tasks continue.
        start_permit_deadline_unix_ms=(
            0 if machine.restriction else start_permit_deadline_unix_ms
        ),
        unix_ms=now_unix_ms,
        configuration_version=machine.configuration.version,
        quotas={
            key.removeprefix("teams/"): value
            for key, value in machine.configuration.values.items()
            if key.startswith("teams/") and isinstance(value, dict)
        },
        tasks=tuple(
            planning_view(table, task, observations.usage_of(task), job_cache)
            for task in active_tasks
        ),
        workers=worker_views(machine, leases, observations),
    )


def entry_view(
    machine: DomainMachine,
    request: EntrySync,
    grants: tuple[SlotGrant, ...],
    now_unix_ms: int,
) -> EntryView:
    """Return the reply to `EntrySync`."""
    configuration = machine.configuration
    table_version = machine.workers.table_version
    return EntryView(
        unix_ms=now_unix_ms,
        group_incarnation=machine.group_incarnation,
        version=configuration.version,
        configuration=(
            configuration
            if configuration.version > request.known_version
            else None
        ),
        table_version=table_version,
        endpoints=(
            machine.workers.endpoints()
            if table_version != request.known_table_version
            else None
        ),
        grants=grants,
    )


def refuse_all_placements(request: PlaceTasks) -> PlaceTasksReply:
    """Return the reply to placements made without a start permit."""
    return PlaceTasksReply(
        results=tuple(
            PlacementResult(
                task_id=placement.task_id,
                placed=False,
                code="no-start-permit",
            )
            for placement in request.placements
        )
    )


def task_list(
    machine: DomainMachine, observations: Observations, request: ListTasks
) -> TaskList:
    """Return the reply to `ListTasks`.

    Payloads and checkpoints are included only when one job is requested;
    with those of all jobs the reply would exceed the frame size limit.
    """
    table = machine.tasks
    limit = max(0, request.limit)
    if request.job_id:
        return TaskList(
            tasks=tuple(
                task_view(table, task, observations.usage_of(task))
                for task in table.of_job(request.job_id)[:limit]
            )
        )
    tasks = heapq.nsmallest(
        limit,
        table.tasks.values(),
        key=lambda task: (task.job_id, task.number),
    )
    job_cache: dict[str, Job] = {}
    return TaskList(
        tasks=tuple(
            planning_view(table, task, observations.usage_of(task), job_cache)
            for task in tasks
        )
    )
