"""Volatile part of a domain group, on its leader."""

from typing import Any

from sardinespool.capacity.grants import GrantTable
from sardinespool.capacity.process_versions import ProcessVersions
from sardinespool.clock import Instant
from sardinespool.domains.permit import StartPermit
from sardinespool.errors.tasks import FailureDomainMismatchError
from sardinespool.errors.tasks import StaleWorkerError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.groups import domain_dump
from sardinespool.groups import domain_sync
from sardinespool.groups import domain_views
from sardinespool.groups.contract import Answer
from sardinespool.groups.contract import Proposal
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import ExpireRecords
from sardinespool.messages.commands import RecordWorker
from sardinespool.messages.commands import Refused
from sardinespool.messages.dump import DumpState
from sardinespool.messages.dump import StateDump
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import SyncDomain
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import FailTasks
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import ListTasks
from sardinespool.messages.tasks import ListWorkers
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import ReleaseJob
from sardinespool.messages.tasks import RestrictStarts
from sardinespool.messages.tasks import SchedulerSync
from sardinespool.messages.tasks import SchedulingView
from sardinespool.messages.tasks import ThrottleTasks
from sardinespool.tasks import draining
from sardinespool.tasks.absence import AbsenceTracker
from sardinespool.tasks.absence import absent_tasks
from sardinespool.tasks.heartbeats import must_record
from sardinespool.tasks.heartbeats import reply_to
from sardinespool.tasks.leases import LeaseTable
from sardinespool.tasks.observations import Observations

EXPIRY_INTERVAL_MS = 60_000
"""Time between two removals of old records."""


class DomainService:
    """Leases, grants, the start permit and answers of a domain group.

    Parameters
    ----------
    machine : DomainMachine
        Replicated state, read directly.
    failure_domain : str
        Name of the failure domain and of its group.
    entry_count : int
        Entries of the failure domain in the settings; gives the slot floors.
    """

    def __init__(
        self, machine: DomainMachine, failure_domain: str, entry_count: int
    ) -> None:
        self._machine = machine
        self._failure_domain = failure_domain
        self._leases = LeaseTable()
        self._observations = Observations()
        self._absences = AbsenceTracker()
        self._permit = StartPermit()
        self._grants = GrantTable(entry_count)
        self._processes = ProcessVersions()
        self._next_expiry_boot_ms = 0

    def become_leader(self, now: Instant) -> None:
        """Start to serve; earlier leaders' leases and grants may be valid."""
        self.step_down()
        self._leases.become_leader(now.unix_ms)
        self._grants.become_leader(now.unix_ms)
        self._next_expiry_boot_ms = now.boot_ms + EXPIRY_INTERVAL_MS

    def step_down(self) -> None:
        """Forget volatile state."""
        self._observations.clear()
        self._absences.clear()
        self._processes.clear()
        self._permit = StartPermit()

    def handle(self, request: Request, now: Instant) -> Answer | Proposal:
        """Answer a request or propose a command; see `GroupService`."""
        match request:
            case Heartbeat():
                return self._handle_heartbeat(request, now)
            case EntrySync():
                return Answer(self._entry_view(request, now))
            case SchedulerSync():
                return Answer(self._scheduling_view(request, now))
            case PlaceTasks():
                return self._handle_placements(request, now)
            case BeginRequest():
                reply = self._machine.recorded_reply(request, now.unix_ms)
                return Proposal(request) if reply is None else Answer(reply)
            case (
                EvictTasks()
                | ThrottleTasks()
                | FailTasks()
                | ReleaseJob()
                | RestrictStarts()
                | FinishRequest()
                | AbandonRequest()
            ):
                return Proposal(request)
            case ListTasks():
                return Answer(
                    domain_views.task_list(
                        self._machine, self._observations, request
                    )
                )
            case ListWorkers():
                return Answer(
                    domain_views.worker_list(
                        self._machine, self._leases, self._observations
                    )
                )
            case DumpState():
                return Answer(
                    StateDump(
                        json=domain_dump.dump_json(
                            self._machine, self._volatile(now)
                        )
                    )
                )
            case _:
                raise InvalidMessageError(
                    "A domain group does not take this request.",
                    request=type(request).__name__,
                )

    def complete(self, request: Request, result: Reply, now: Instant) -> Reply:
        """Return the reply to a request whose proposal was applied."""
        if isinstance(request, Heartbeat) and not isinstance(result, Refused):
            return self._heartbeat_reply(request)
        return result

    def applied(self, body: CommandBody, result: Reply, now: Instant) -> None:
        """Ignore the result: the machine's state tells all."""

    def tick(self, now: Instant) -> list[CommandBody]:
        """Return commands that time has made due; see `GroupService`."""
        machine = self._machine
        commands: list[CommandBody] = []
        commands.extend(
            self._leases.lost_workers(machine.workers.ordered(), now.unix_ms)
        )
        commands.extend(self._absences.commands(machine.tasks, now.unix_ms))
        eviction = draining.leaving_evictions(
            machine.tasks, machine.workers.workers.values()
        )
        if eviction is not None:
            commands.append(eviction)
        if not machine.in_service:
            eviction = draining.evictions(machine.tasks)
            if eviction is not None:
                commands.append(eviction)
            commands.extend(draining.releases(machine.tasks))
        if now.boot_ms >= self._next_expiry_boot_ms:
            self._next_expiry_boot_ms = now.boot_ms + EXPIRY_INTERVAL_MS
            self._prune(now)
            commands.append(ExpireRecords(before_unix_ms=now.unix_ms))
        return commands

    def sync_request(self, now: Instant) -> SyncDomain:
        """Return the report to the global group."""
        return domain_sync.sync_request(
            self._machine, self._processes.current(now.unix_ms)
        )

    def sync_reply(self, reply: DomainSync, now: Instant) -> list[CommandBody]:
        """Take the global group's reply; return commands to propose."""
        self._permit.update(reply.version, reply.start_permit_deadline_unix_ms)
        return domain_sync.due_commands(self._machine, reply)

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, now: Instant
    ) -> Answer | Proposal:
        machine = self._machine
        if heartbeat.failure_domain != self._failure_domain:
            raise FailureDomainMismatchError(
                "The worker belongs to another failure domain.",
                failure_domain=self._failure_domain,
            )
        worker = machine.workers.workers.get(heartbeat.worker_id)
        if worker is not None and heartbeat.incarnation < worker.incarnation:
            raise StaleWorkerError(
                "A later incarnation of the worker is registered.",
                incarnation=worker.incarnation,
            )
        self._observations.note(heartbeat)
        self._absences.note(
            absent_tasks(
                machine.tasks.on_worker(heartbeat.worker_id), heartbeat
            )
        )
        pending = worker is not None and self._leases.needs_commit(worker)
        self._leases.renew(heartbeat.worker_id, now.unix_ms)
        if pending or must_record(machine.tasks, machine.workers, heartbeat):
            return Proposal(RecordWorker(heartbeat=heartbeat))
        return Answer(self._heartbeat_reply(heartbeat))

    def _heartbeat_reply(self, heartbeat: Heartbeat) -> HeartbeatReply:
        return reply_to(
            self._machine.tasks,
            heartbeat,
            self._leases.deadline_unix_ms(heartbeat.worker_id),
        )

    def _handle_placements(
        self, request: PlaceTasks, now: Instant
    ) -> Answer | Proposal:
        deadline_unix_ms = self._permit.start_deadline_unix_ms(now.unix_ms)
        if deadline_unix_ms == 0:
            return Answer(domain_views.all_refused(request))
        return Proposal(
            PlaceTasks(
                scheduler_id=request.scheduler_id,
                placements=request.placements,
                start_deadline_unix_ms=deadline_unix_ms,
            )
        )

    def _entry_view(self, request: EntrySync, now: Instant) -> EntryView:
        if request.stopping:
            self._processes.remove(request.entry_id)
        else:
            self._processes.note(
                request.entry_id,
                "sardinespool-entry",
                request.known_version,
                now.unix_ms,
            )
        grants = self._grants.sync(
            request, self._machine.workers.endpoints(), now.unix_ms
        )
        return domain_views.entry_view(
            self._machine, request, grants, now.unix_ms
        )

    def _scheduling_view(
        self, request: SchedulerSync, now: Instant
    ) -> SchedulingView:
        self._processes.note(
            request.scheduler_id,
            "sardinespool-scheduler",
            request.configuration_version,
            now.unix_ms,
        )
        return domain_views.scheduling_view(
            self._machine,
            self._leases,
            self._observations,
            self._permit.deadline_unix_ms,
            now.unix_ms,
        )

    def _prune(self, now: Instant) -> None:
        self._leases.prune(now.unix_ms)
        self._grants.prune(now.unix_ms)
        for worker_id in self._observations.worker_ids:
            worker = self._machine.workers.workers.get(worker_id)
            if worker is None or worker.lost:
                self._observations.forget(worker_id)

    def _volatile(self, now: Instant) -> dict[str, Any]:
        return domain_dump.volatile_state(
            self._machine,
            self._leases,
            self._grants,
            self._permit,
            self._processes,
            now.unix_ms,
        )
