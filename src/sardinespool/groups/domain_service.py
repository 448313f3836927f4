"""Volatile state and request handling of a domain group's leader."""

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
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.groups.interfaces import Proposal
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
from sardinespool.tasks.absent_attempts import AbsentAttempts
from sardinespool.tasks.absent_attempts import tasks_without_attempt
from sardinespool.tasks.heartbeats import changes_replicated_state
from sardinespool.tasks.heartbeats import heartbeat_reply
from sardinespool.tasks.leases import LeaseTable
from sardinespool.tasks.observations import Observations

EXPIRY_INTERVAL_MS = 60_000
"""Interval at which expired records are removed."""


class DomainService:
    """Leases, slot grants, start permit and replies of a domain group.

    Parameters
    ----------
    machine : DomainMachine
        Replicated state; read here, changed by commands only.
    failure_domain : str
        Name of the failure domain and of its group.
    entry_count : int
        Number of configured entries in the failure domain; each gets an
        equal floor of the slots of an endpoint.
    """

    def __init__(
        self, machine: DomainMachine, failure_domain: str, entry_count: int
    ) -> None:
        self._machine = machine
        self._failure_domain = failure_domain
        self._leases = LeaseTable()
        self._observations = Observations()
        self._absent_attempts = AbsentAttempts()
        self._start_permit = StartPermit()
        self._grants = GrantTable(entry_count)
        self._process_versions = ProcessVersions()
        self._next_expiry_boot_ms = 0

    def become_leader(self, now: Instant) -> None:
        """Start serving.

        Leases and grants of earlier leaders are assumed to be still valid.
        """
        self.step_down()
        self._leases.become_leader(now.unix_ms)
        self._grants.become_leader(now.unix_ms)
        self._next_expiry_boot_ms = now.boot_ms + EXPIRY_INTERVAL_MS

    def step_down(self) -> None:
        """Discard the volatile state."""
        self._observations.clear()
        self._absent_attempts.clear()
        self._process_versions.clear()
        self._start_permit = StartPermit()

    def handle(
        self, request: Request, now: Instant
    ) -> ImmediateReply | Proposal:
        """Answer a request or propose a command; see `GroupService`."""
        match request:
            case Heartbeat():
                return self._handle_heartbeat(request, now)
            case EntrySync():
                return ImmediateReply(self._entry_view(request, now))
            case SchedulerSync():
                return ImmediateReply(self._scheduling_view(request, now))
            case PlaceTasks():
                return self._handle_placements(request, now)
            case BeginRequest():
                reply = self._machine.claim_reply(request, now.unix_ms)
                return (
                    Proposal(request)
                    if reply is None
                    else ImmediateReply(reply)
                )
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
                return ImmediateReply(
                    domain_views.task_list(
                        self._machine, self._observations, request
                    )
                )
            case ListWorkers():
                return ImmediateReply(
                    domain_views.worker_list(
                        self._machine, self._leases, self._observations
                    )
                )
            case DumpState():
                return ImmediateReply(
                    StateDump(
                        json=domain_dump.dump_json(
                            self._machine, self._volatile_state(now)
                        )
                    )
                )
            case _:
                raise InvalidMessageError(
                    "A domain group does not take this request.",
                    request=type(request).__name__,
                )

    def build_reply(
        self, request: Request, result: Reply, now: Instant
    ) -> Reply:
        """Return the reply to a request whose proposal was applied."""
        if isinstance(request, Heartbeat) and not isinstance(result, Refused):
            return self._heartbeat_reply(request)
        return result

    def on_applied(
        self, body: CommandBody, result: Reply, now: Instant
    ) -> None:
        """Ignore the result; `tick` reads the machine's state."""

    def tick(self, now: Instant) -> list[CommandBody]:
        """Return the commands that are due; see `GroupService`."""
        machine = self._machine
        commands: list[CommandBody] = []
        commands.extend(
            self._leases.lost_workers(machine.workers.ordered(), now.unix_ms)
        )
        commands.extend(
            self._absent_attempts.commands(machine.tasks, now.unix_ms)
        )
        eviction = draining.leaving_worker_evictions(
            machine.tasks, machine.workers.workers.values()
        )
        if eviction is not None:
            commands.append(eviction)
        if not machine.in_service:
            eviction = draining.domain_evictions(machine.tasks)
            if eviction is not None:
                commands.append(eviction)
            commands.extend(draining.job_releases(machine.tasks))
        if now.boot_ms >= self._next_expiry_boot_ms:
            self._next_expiry_boot_ms = now.boot_ms + EXPIRY_INTERVAL_MS
            self._remove_expired(now)
            commands.append(ExpireRecords(before_unix_ms=now.unix_ms))
        return commands

    def build_sync_request(self, now: Instant) -> SyncDomain:
        """Return the report to the global group."""
        return domain_sync.sync_request(
            self._machine, self._process_versions.current(now.unix_ms)
        )

    def handle_sync_reply(
        self, reply: DomainSync, now: Instant
    ) -> list[CommandBody]:
        """Process the global group's reply; return commands to propose."""
        self._start_permit.update(
            reply.version, reply.start_permit_deadline_unix_ms
        )
        return domain_sync.commands_for_reply(self._machine, reply)

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, now: Instant
    ) -> ImmediateReply | Proposal:
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
        self._observations.record_heartbeat(heartbeat)
        self._absent_attempts.add(
            tasks_without_attempt(
                machine.tasks.on_worker(heartbeat.worker_id), heartbeat
            )
        )
        loss_pending = (
            worker is not None and self._leases.heartbeat_needs_commit(worker)
        )
        self._leases.renew(heartbeat.worker_id, now.unix_ms)
        if loss_pending or changes_replicated_state(
            machine.tasks, machine.workers, heartbeat
        ):
            return Proposal(RecordWorker(heartbeat=heartbeat))
        return ImmediateReply(self._heartbeat_reply(heartbeat))

    def _heartbeat_reply(self, heartbeat: Heartbeat) -> HeartbeatReply:
        return heartbeat_reply(
            self._machine.tasks,
            heartbeat,
            self._leases.granted_deadline_unix_ms(heartbeat),
        )

    def _handle_placements(
        self, request: PlaceTasks, now: Instant
    ) -> ImmediateReply | Proposal:
        deadline_unix_ms = self._start_permit.start_deadline_unix_ms(
            now.unix_ms
        )
        if deadline_unix_ms == 0:
            return ImmediateReply(domain_views.refuse_all_placements(request))
        return Proposal(
            PlaceTasks(
                scheduler_id=request.scheduler_id,
                placements=request.placements,
                start_deadline_unix_ms=deadline_unix_ms,
            )
        )

    def _entry_view(self, request: EntrySync, now: Instant) -> EntryView:
        if request.stopping:
            self._process_versions.remove(request.entry_id)
        else:
            self._process_versions.record_report(
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
        self._process_versions.record_report(
            request.scheduler_id,
            "sardinespool-scheduler",
            request.configuration_version,
            now.unix_ms,
        )
        return domain_views.scheduling_view(
            self._machine,
            self._leases,
            self._observations,
            self._start_permit.deadline_unix_ms,
            now.unix_ms,
        )

    def _remove_expired(self, now: Instant) -> None:
        self._leases.prune(now.unix_ms)
        self._grants.prune(now.unix_ms)
        for worker_id in self._observations.worker_ids:
            worker = self._machine.workers.workers.get(worker_id)
            if worker is None or worker.lost:
                self._observations.remove_worker(worker_id)

    def _volatile_state(self, now: Instant) -> dict[str, Any]:
        return domain_dump.volatile_state(
            self._machine,
            self._leases,
            self._grants,
            self._start_permit,
            self._process_versions,
            now.unix_ms,
        )
