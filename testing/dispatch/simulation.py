"""Simulation of a dispatcher, its log and workers in virtual time."""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.dispatch.connection_identity import ConnectionIdentity
from sardinespool.dispatch.connection_identity import identifying_renewal
from sardinespool.dispatch.connection_identity import order_obstacle
from sardinespool.dispatch.control_service import ControlService
from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import NoAnswer
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import OtherIncarnation
from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult
from sardinespool.dispatch.orders import Unconfirmed
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.worker_reports import DropWorker
from sardinespool.messages.worker_reports import PutWorker
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import CancelWorkflow
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import RecordRuns
from sardinespool.messages.workflows import StepSpec
from sardinespool.messages.workflows import SubmitWorkflow
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.messages.workflows import WorkflowState
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.observability.metrics import Metrics
from sardinespool.replication.status import ReplicaStatus
from sardinespool.replication.status import Role
from testing.dispatch.fake_worker import CRASH_DELAY_MS
from testing.dispatch.fake_worker import FakeWorker
from testing.dispatch.oracle import FAILURES_MAX
from testing.dispatch.oracle import Oracle

TICK_MS = 5
HEARTBEAT_INTERVAL_MS = 1_000
COMMIT_LATENCY_MS = 20
RENEWAL_CONNECTION = -1
HOST = "host"
PREFIX = "/q/"


@dataclasses.dataclass
class Faults:
    """Fault rates.

    Attributes
    ----------
    unanswered : float
        Share of calls without an answer.
    late : float
        Share of unanswered orders that the worker executes later.
    late_renewals : float
        Share of unanswered lease renewals that the worker executes later.
    unanswered_identifications : float
        Share of unanswered orders on new connections that are not sent, as
        the call before that identifies the process has no answer.
    lost_acknowledgement : float
        Share of commands with ends after whose commit the leader is lost
        before it acknowledges them.
    repeated_ends : float
        Share of commands with ends whose ends are recorded again later.
    lost_starter : float
        Share of the crashes by a task at which the leader is lost too.
    lost_heartbeats, late_heartbeats : float
        Shares of the heartbeats that never arrive, or that arrive after later
        ones.
    """

    unanswered: float = 0.0
    late: float = 0.0
    late_renewals: float = 0.0
    unanswered_identifications: float = 0.0
    lost_acknowledgement: float = 0.0
    repeated_ends: float = 0.0
    lost_starter: float = 0.0
    lost_heartbeats: float = 0.0
    late_heartbeats: float = 0.0


@dataclasses.dataclass
class Connection:
    """A connection of the leader, taken by one process of a worker."""

    process: int
    identity: ConnectionIdentity = dataclasses.field(
        default_factory=ConnectionIdentity
    )


class Simulation:
    """One control group with leader changes, and its workers.

    Attributes
    ----------
    workers_check_incarnation : bool
        Whether a worker refuses calls to an earlier process.
    connections_end_with_process : bool
        Whether an order is executed only by the process that was up when it
        was sent, as the connection ends with it. Otherwise a later process
        may execute it too. This concerns the orders executed late.
    connections_outlive_process : bool
        Whether a relay keeps the connections to a worker open when its
        process ends, so that calls on them reach the next process.
    misdirected : collections.Counter
        Number of calls with an effect on another process than the one they
        were meant for, by the name of the call.
    hosts_refuse : bool
        Whether calls to a worker that is down are refused at once, and calls
        in progress are closed if it starts again; otherwise they time out, or
        the next process answers them.
    restores_snapshots : bool
        Whether each new leader starts from a restored snapshot.
    list_latency_ms : int
        Time from a lease renewal to the lists of a worker that has ends.
    """

    def __init__(
        self,
        seed: int,
        workers: int = 4,
        oracle: Oracle | None = None,
        settings: DispatchSettings | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self.oracle = oracle or Oracle()
        self.faults = Faults()
        self.machine = ControlMachine()
        self.settings = settings or DispatchSettings()
        self.term = 0
        self.serving = False
        self.lapsed = False
        self.workers_check_incarnation = False
        self.connections_end_with_process = False
        self.connections_outlive_process = False
        self.misdirected: collections.Counter[str] = collections.Counter()
        self.hosts_refuse = False
        self.restores_snapshots = False
        self.list_latency_ms = 1
        self.crashing_tasks: set[str] = set()
        self.workers = {
            f"w{number}": FakeWorker(
                f"w{number}", self.oracle, self.random.getrandbits(32)
            )
            for number in range(workers)
        }
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_order = itertools.count()
        self._hold_in_flight: dict[str, bool] = {}
        self._connections: dict[tuple[str, int], Connection] = {}
        self._busy_connections: set[tuple[str, int]] = set()
        self._in_commit = False
        self._sequence = itertools.count(1)
        self._next_heartbeat_ms = 0
        self._apply(
            PublishManifest(
                version=1,
                queues=(
                    QueueSpec(
                        name="q",
                        host=HOST,
                        prefix=PREFIX,
                        pool="pool",
                        priority=0,
                        failures_max=FAILURES_MAX,
                        stretch=2.0,
                        latency_objective_ms=500,
                    ),
                ),
                pools=(PoolSpec(name="pool"),),
                source=b"{}",
            )
        )
        self.lead()

    def now(self) -> Instant:
        return Instant(self.now_ms + 50_000, self.now_ms + 1_000_000)

    def lead(self) -> None:
        """Start a new leader from the committed state."""
        self.term += 1
        if self.restores_snapshots:
            stored = self.machine.snapshot()
            self.machine = ControlMachine()
            self.machine.restore(stored)
        self.dispatcher = Dispatcher(
            self.machine,
            self.settings,
            lambda worker_id: None,
            DispatchMetrics(Metrics("controller", "a")),
        )
        self.service = ControlService(
            self.machine, self.dispatcher, self._status
        )
        self.service.become_leader(self.now())
        self.serving = True
        self.lapsed = False
        self._in_commit = False
        self._hold_in_flight = {}
        # A connection ends with the process at either end.
        self._connections = {}
        self._busy_connections = set()

    def lose_leader(self, downtime_ms: int) -> None:
        """Stop the leader and start the next one after a downtime."""
        self.service.step_down()
        self.serving = False
        self.at(downtime_ms, self.lead)

    def make_crashing(
        self,
        downtime_ms: int,
        keep_id: bool,
        delay_ms: int = CRASH_DELAY_MS,
    ) -> None:
        """Let `crashing_tasks` crash each worker that starts them.

        Parameters
        ----------
        downtime_ms : int
            Time after which a crashed worker is back.
        keep_id : bool
            Whether it is back under its earlier id; it has the same host
            in any case.
        delay_ms : int
            Time from the start of a task to the crash.
        """

        def handle_crash(worker: FakeWorker, host: str) -> None:
            self.at(downtime_ms, lambda: start_again(worker, host))
            if self.serving and self.random.random() < (
                self.faults.lost_starter
            ):
                self.lose_leader(self.random.randint(50, 1_000))

        def start_again(worker: FakeWorker, host: str) -> None:
            worker_id = f"{host}-{worker.incarnation}"
            worker.start_incarnation(
                self.now_ms, None if keep_id else worker_id
            )

        self.hosts_refuse = True
        for host, worker in self.workers.items():
            worker.crashing_tasks = self.crashing_tasks
            worker.crash_delay_ms = delay_ms
            worker.on_crash = functools.partial(handle_crash, worker, host)

    def lapse_lease(self, duration_ms: int) -> None:
        """Let the leader's lease lapse and be renewed in the same term.

        Commands in flight are committed; answers of workers still arrive.
        """
        service = self.service
        self.lapsed = True

        def renew() -> None:
            if service is self.service:
                self.lapsed = False

        self.at(duration_ms, renew)

    def submit(self, job_id: str, *steps: StepSpec) -> None:
        spec = WorkflowSpec(payload="text", steps=steps)
        self.oracle.specs[job_id] = spec
        self.request(
            SubmitWorkflow(host=HOST, path=PREFIX + job_id, spec=spec)
        )

    def cancel(self, job_id: str) -> None:
        self.oracle.cancelled_ms[job_id] = self.now_ms
        self.request(CancelWorkflow(host=HOST, path=PREFIX + job_id))

    def request(self, request: Request) -> None:
        """Serve a request at once; there must be a leader."""
        outcome = self.service.handle(request, self.now())
        if isinstance(outcome, ImmediateReply):
            return
        result = self._apply(outcome.body)
        self.service.on_applied(outcome.body, result, self.now())

    def request_applied(self, body: CommandBody) -> None:
        """Commit a command at once and tell the leader, if there is one."""
        result = self._apply(body)
        if self.serving:
            self.service.on_applied(body, result, self.now())

    def drop_worker(self, worker_id: str) -> None:
        """Commit the leave of a worker that the leader learns of no more."""
        incarnation = self.workers[worker_id].incarnation
        self._apply(DropWorker(worker_id=worker_id, incarnation=incarnation))

    def commit_worker(self, description: WorkerDescription) -> None:
        """Commit a worker that no leader has learned of yet."""
        self._apply(PutWorker(description=description))

    def read_state(self, job_id: str) -> WorkflowState:
        """Read the state of a job; there must be a leader."""
        outcome = self.service.handle(
            ReadWorkflow(host=HOST, path=PREFIX + job_id), self.now()
        )
        assert isinstance(outcome, ImmediateReply)
        assert isinstance(outcome.reply, WorkflowStatus)
        state = outcome.reply.state
        self.oracle.shown(job_id, state)
        return state

    def at(self, delay_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events,
            (self.now_ms + delay_ms, next(self._event_order), action),
        )

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self.oracle.now_ms = self.now_ms
            for worker in self.workers.values():
                worker.advance(self.now_ms)
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            if self.serving and not self.lapsed:
                self._run_step()

    def _run_step(self) -> None:
        if self.now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = self.now_ms + HEARTBEAT_INTERVAL_MS
            for worker in self.workers.values():
                if worker.up and worker.reachable:
                    self._send_heartbeat(worker)
        for worker in self.workers.values():
            self._send_lease_renewal(worker)
            self._send_orders(worker)
        if not self._in_commit:
            for body in self.service.tick(self.now()):
                self._in_commit = True
                self.at(
                    COMMIT_LATENCY_MS, self._make_commit(body, self.service)
                )

    def write_heartbeat(self, worker: FakeWorker) -> ReportWorker:
        """Return the next heartbeat of a worker."""
        return ReportWorker(
            description=worker.description(),
            sequence=next(self._sequence),
            clock_ms=worker.clock(self.now_ms),
        )

    def _send_heartbeat(self, worker: FakeWorker) -> None:
        report = self.write_heartbeat(worker)
        faults = self.faults
        if faults.lost_heartbeats or faults.late_heartbeats:
            drawn = self.random.random()
            if drawn < faults.lost_heartbeats:
                return
            if drawn < faults.lost_heartbeats + faults.late_heartbeats:
                self.at(
                    self.random.randint(1_000, 9_000),
                    lambda: self.request(report) if self.serving else None,
                )
                return
        self.request(report)

    def _make_commit(
        self, body: CommandBody, service: ControlService
    ) -> Callable[[], None]:
        def commit() -> None:
            # The proposal of a lost leader may or may not be committed.
            if service is not self.service or not self.serving:
                if self.random.random() < 0.5 and not self.serving:
                    self._apply(body)
                return
            result = self._apply(body)
            self._repeat_ends(body)
            if self._loses_acknowledgement(body):
                self.lose_leader(self.random.randint(50, 1_000))
                return
            self._in_commit = False
            service.on_applied(body, result, self.now())

        return commit

    def _repeat_ends(self, body: CommandBody) -> None:
        """Let another leader record the ends of a command again, late."""
        if (
            self.faults.repeated_ends
            and isinstance(body, RecordRuns)
            and body.ends
            and self.random.random() < self.faults.repeated_ends
        ):
            repeated = RecordRuns(ends=body.ends)
            self.at(
                self.random.randint(50, 4_000), lambda: self._apply(repeated)
            )

    def _loses_acknowledgement(self, body: CommandBody) -> bool:
        return (
            self.faults.lost_acknowledgement > 0
            and isinstance(body, RecordRuns)
            and bool(body.ends)
            and self.random.random() < self.faults.lost_acknowledgement
        )

    def _send_lease_renewal(self, worker: FakeWorker) -> None:
        worker_id = worker.worker_id
        if self._hold_in_flight.get(worker_id):
            return
        renewal = self.dispatcher.orders.next_lease_renewal(
            worker_id, self.now()
        )
        if renewal is None:
            return
        in_flight = self._hold_in_flight
        in_flight[worker_id] = True
        dispatcher = self.dispatcher
        incarnation = dispatcher.fleet.workers[
            worker_id
        ].description.incarnation
        sent_boot_ms = self.now().boot_ms

        def answer(result: RenewLeaseResult) -> None:
            if dispatcher is self.dispatcher and self.serving:
                if isinstance(result, OtherIncarnation):
                    self.at(
                        self.settings.retry_ms,
                        lambda: in_flight.pop(worker_id, None),
                    )
                else:
                    in_flight[worker_id] = False
                dispatcher.handle_renewal_result(
                    worker_id,
                    incarnation,
                    renewal,
                    result,
                    sent_boot_ms,
                    self.now(),
                )

        if not self._answers(worker):
            connection = self._connections.pop(
                (worker_id, RENEWAL_CONNECTION), None
            )
            if self._is_late_renewal():
                self.at(
                    self.random.randint(200, 12_000),
                    lambda: self.deliver_renewal(
                        worker, renewal, incarnation, connection
                    ),
                )
            delay_ms, lost = self._no_answer(worker)
            self.at(delay_ms, lambda: answer(lost))
            return
        if self._is_refused(worker, incarnation):
            self.at(1, lambda: answer(OtherWorker()))
            return
        connection = self._connect(worker, RENEWAL_CONNECTION)
        prepared = connection.identity.prepare(renewal, incarnation)
        self._note_effect(worker, incarnation, prepared)
        first = worker.renew_lease(prepared, self.now_ms)
        wait_ms = max(self.list_latency_ms, prepared.wait_ms // 4)
        if worker.has_ends or not isinstance(first, LeaseRenewed):
            wait_ms = self.list_latency_ms

        def later() -> None:
            is_open = self._is_open(connection, worker)
            if not worker.up or (self.hosts_refuse and not is_open):
                lost = NoAnswer(
                    sent=True, reason="crashed", closed=worker.reachable
                )
                answer(lost)
            elif not worker.reachable:
                self._connections.pop((worker_id, RENEWAL_CONNECTION), None)
                delay_ms, lost = self._no_answer(worker)
                self.at(delay_ms, lambda: answer(lost))
            elif isinstance(first, LeaseRenewed):
                lists = worker.lists(self.now_ms)
                identity = (
                    connection.identity if is_open else ConnectionIdentity()
                )
                answer(identity.handle_answer(lists, incarnation))
            else:
                answer(first)

        self.at(wait_ms, later)

    def _send_orders(self, worker: FakeWorker) -> None:
        dispatcher = self.dispatcher
        while True:
            due = dispatcher.orders.next_order(worker.worker_id, self.now())
            if due is None:
                return
            key, order = due
            state = dispatcher.fleet.workers[worker.worker_id]
            incarnation = state.description.incarnation
            connection_key = self._take_connection(worker)

            def answer(
                result: OrderResult,
                key: tuple[str, int] = key,
                order: object = order,
                incarnation: int = incarnation,
                sent_boot_ms: int = self.now().boot_ms,
                connection_key: tuple[str, int] = connection_key,
                busy: set[tuple[str, int]] = self._busy_connections,
            ) -> None:
                busy.discard(connection_key)
                if dispatcher is self.dispatcher and self.serving:
                    dispatcher.handle_order_result(
                        worker.worker_id,
                        incarnation,
                        key,
                        order,
                        result,
                        sent_boot_ms,
                        self.now(),
                    )

            if self._answers(worker):
                result: OrderResult = OtherWorker()
                if not self._is_refused(worker, incarnation):
                    result = self._execute(
                        worker, order, incarnation, connection_key[1]
                    )
                self.at(2, lambda a=answer, r=result: a(r))
                continue
            is_new = self._connections.pop(connection_key, None) is None
            if is_new and self._is_identification_lost():
                unconfirmed = Unconfirmed("no answer", refused=False)
                self.at(
                    self.settings.order_timeout_ms,
                    lambda a=answer, r=unconfirmed: a(r),
                )
                continue
            if self.random.random() < self.faults.late:
                process = worker.incarnation if worker.up else None

                def late(
                    order: object = order,
                    incarnation: int = incarnation,
                    process: int | None = process,
                    sent_ms: int = self.now_ms,
                ) -> None:
                    if (
                        worker.up
                        and not self._is_refused(worker, incarnation)
                        and (
                            process == worker.incarnation == incarnation
                            or not self.connections_end_with_process
                        )
                    ):
                        self._note_effect(worker, incarnation, order)
                        worker.execute(order, self.now_ms, sent_ms)

                self.at(self.random.randint(2_000, 12_000), late)
            delay_ms, lost = self._no_answer(worker)
            self.at(delay_ms, lambda a=answer, r=lost: a(r))

    def deliver_renewal(
        self,
        worker: FakeWorker,
        renewal: RenewLease,
        incarnation: int,
        connection: Connection | None = None,
    ) -> None:
        """Let a worker execute a renewal that was meant for an incarnation.

        The connection of the call is a new one unless the process that took
        it is still up: it was being opened while the worker was down.
        """
        if not worker.up or self._is_refused(worker, incarnation):
            return
        if connection is None or not self._is_open(connection, worker):
            connection = Connection(worker.incarnation)
        self._renew(worker, connection, renewal, incarnation)

    def _is_late_renewal(self) -> bool:
        return (
            self.faults.late_renewals > 0
            and self.random.random() < self.faults.late_renewals
        )

    def _is_identification_lost(self) -> bool:
        share = self.faults.unanswered_identifications
        return share > 0 and self.random.random() < share

    def _is_open(self, connection: Connection, worker: FakeWorker) -> bool:
        return (
            self.connections_outlive_process
            or connection.process == worker.incarnation
        )

    def _connect(self, worker: FakeWorker, index: int) -> Connection:
        """Return a connection to a worker, opened if needed."""
        key = worker.worker_id, index
        connection = self._connections.get(key)
        if connection is None or not self._is_open(connection, worker):
            connection = Connection(worker.incarnation)
            self._connections[key] = connection
        return connection

    def _take_connection(self, worker: FakeWorker) -> tuple[str, int]:
        """Return the first connection that no order in flight uses."""
        index = 0
        while (worker.worker_id, index) in self._busy_connections:
            index += 1
        self._busy_connections.add((worker.worker_id, index))
        return worker.worker_id, index

    def _renew(
        self,
        worker: FakeWorker,
        connection: Connection,
        renewal: RenewLease,
        incarnation: int,
    ) -> RenewLeaseResult:
        """Execute what a connection may carry of a renewal."""
        prepared = connection.identity.prepare(renewal, incarnation)
        self._note_effect(worker, incarnation, prepared)
        answer = worker.renew_lease(prepared, self.now_ms)
        return connection.identity.handle_answer(answer, incarnation)

    def _execute(
        self, worker: FakeWorker, order: Order, incarnation: int, index: int
    ) -> OrderResult:
        """Execute an order once the process has named itself."""
        connection = self._connect(worker, index)
        if not connection.identity.is_confirmed(incarnation):
            renewal = identifying_renewal(order.fencing_token)
            obstacle = order_obstacle(
                self._renew(worker, connection, renewal, incarnation)
            )
            if obstacle is not None:
                return obstacle
        self._note_effect(worker, incarnation, order)
        return worker.execute(order, self.now_ms)

    def _note_effect(
        self, worker: FakeWorker, incarnation: int, call: Order | RenewLease
    ) -> None:
        if worker.incarnation != incarnation and not (
            isinstance(call, RenewLease)
            and call.lease_end_ms is None
            and not call.acknowledged_end
        ):
            self.misdirected[type(call).__name__] += 1

    def _is_refused(self, worker: FakeWorker, incarnation: int) -> bool:
        """Return whether a worker refuses calls to an incarnation."""
        return (
            self.workers_check_incarnation
            and incarnation != worker.incarnation
        )

    def _answers(self, worker: FakeWorker) -> bool:
        return (
            worker.up
            and worker.reachable
            and self.random.random() >= self.faults.unanswered
        )

    def _no_answer(self, worker: FakeWorker) -> tuple[int, NoAnswer]:
        """Return when a call fails that is not answered, and how.

        The host of a process that ended refuses connections.
        """
        if not worker.up and worker.reachable and self.hosts_refuse:
            return 1, NoAnswer(sent=False, reason="refused", closed=True)
        return (
            self.settings.order_timeout_ms,
            NoAnswer(sent=True, reason="no answer"),
        )

    def _apply(self, body: CommandBody) -> Reply:
        return self.machine.apply(
            Command(proposed_unix_ms=self.now().unix_ms, body=body), 0
        )

    def _status(self) -> ReplicaStatus:
        return ReplicaStatus(
            identity="a#1",
            formed=True,
            role=Role.LEADER,
            term=self.term,
            leader="a#1",
            commit_index=1,
            applied_index=1,
            first_log_index=1,
            last_log_index=1,
            snapshot_index=0,
            voters=("a#1",),
            learners=(),
            lease_deadline_boot_ms=0,
        )
