"""A fake worker in virtual time that executes the dispatcher's orders.

It reports what it runs to the oracle, which checks the rules from that and
never from the state of the dispatcher.
"""

import dataclasses
import random
from collections.abc import Callable

from sardinespool.dispatch.orders import EndedRun
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.orders import OrderRefused
from sardinespool.dispatch.orders import OrderResult
from sardinespool.dispatch.orders import PaceRun
from sardinespool.dispatch.orders import Refusal
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.orders import RenewLeaseResult
from sardinespool.dispatch.orders import RunningRun
from sardinespool.dispatch.orders import StartRun
from sardinespool.dispatch.orders import StopRun
from sardinespool.messages.worker_reports import WorkerDescription
from sardinespool.messages.workflows import RunOutcome
from testing.dispatch.oracle import Oracle

LONGEST_LEASE_MS = 6_000
STOP_GRACE_MS = 300
NEVER_MS = 10**9
CRASH_DELAY_MS = 10
"""Time from the start of a crashing task to the crash of its worker."""


@dataclasses.dataclass
class Running:
    """A run on the worker; `ends_ms` is in virtual time."""

    run: int
    ends_ms: int
    outcome: RunOutcome


class FakeWorker:
    """One worker with its incarnations.

    Parameters
    ----------
    worker_id : str
        Id, the same for all incarnations unless a restart changes it.
    oracle : Oracle
        Checks each start and end.
    seed : int
        Seed of run times, failures and clock rate.
    failing, hanging : bool
        Whether all runs on this worker fail, or never progress.
    fails : callable or None
        Whether the runs of a task, by its name, fail on every worker.
    failure_ratio : float
        Share of the other runs that fail.
    run_time_ms : callable or None
        Run time of a task by its name; drawn at random if None.
    crashing_tasks : set of str
        Tasks that crash the worker `crash_delay_ms` after they start.
    checkpoint : str
        Checkpoint that each run lists.
    on_crash : callable or None
        Called when a task has crashed the worker.
    ends_listed_max : int
        Ends in one list; the others are listed once these are acknowledged.
    refuses_starts : bool
        Whether the worker is unhealthy and does nothing for a start.
    runs_max : int or None
        Number of runs from which on it refuses starts for lack of room.
    clock_start_ms : int
        Reading of the clock of the next process when it starts.
    failure_domain : str
        Failure domain that it reports.
    refused : int
        Number of starts that it refused so.
    failed_runs : int
        Number of runs that were begun and fail.
    fenced : int
        Number of orders and lease renewals refused for a lower token.
    """

    def __init__(
        self, worker_id: str, oracle: Oracle, seed: int, failing: bool = False
    ) -> None:
        self.worker_id = worker_id
        self.failing = failing
        self.hanging = False
        self.fails: Callable[[str], bool] | None = None
        self.failure_ratio = 0.05
        self.failed_runs = 0
        self.run_time_ms: Callable[[str], int] | None = None
        self.crashing_tasks: set[str] = set()
        self.crash_delay_ms = CRASH_DELAY_MS
        self.checkpoint = ""
        self.on_crash: Callable[[], None] | None = None
        self.fenced = 0
        self.ends_listed_max = 500
        self.refuses_starts = False
        self.runs_max: int | None = None
        self.clock_start_ms = 0
        self.refused = 0
        self.failure_domain = "centro"
        self.up = True
        self.reachable = True
        self._host = worker_id
        self._crash_ms = NEVER_MS
        self._crash_cause = ""
        self._oracle = oracle
        self._random = random.Random(seed)
        self._rate = self._random.choice([0.98, 0.99, 1.0])
        self.incarnation = 0
        self.labels: tuple[str, ...] = ()
        self.set_capacity()
        self.start_incarnation(0)

    def set_capacity(
        self,
        processors_millicores: int = 4_000,
        memory_mb: int = 8_000,
        accelerators: int = 0,
    ) -> None:
        """Change the capacity that the worker reports; nothing is ended."""
        self.processors_millicores = processors_millicores
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self._report_capacity()

    def _report_capacity(self) -> None:
        self._oracle.capacity_changed(
            self.worker_id,
            (self.processors_millicores, self.memory_mb, self.accelerators),
        )

    def start_incarnation(
        self, now_ms: int, worker_id: str | None = None
    ) -> None:
        """Restart without any runs or state, under another id if given."""
        self.incarnation += 1
        if worker_id is not None:
            self.worker_id = worker_id
            self._report_capacity()
        self._crash_ms = NEVER_MS
        self.up = True
        self._started_ms = now_ms
        self._clock_start_ms = self.clock_start_ms
        self._token = 0
        self._lease_end_ms = self._clock_start_ms
        self._end_count = 0
        self.running: dict[str, Running] = {}
        self._ended: list[EndedRun] = []
        self._highest_runs: dict[str, int] = {}
        self._oracle.worker_down(self.worker_id)

    def crash(self) -> None:
        """Stop at once and lose all runs."""
        self.up = False
        self.running.clear()
        self._oracle.worker_down(self.worker_id)

    def description(self, draining: bool = False) -> WorkerDescription:
        """Return the description that the worker reports."""
        return WorkerDescription(
            worker_id=self.worker_id,
            incarnation=self.incarnation,
            address="10.0.0.1:80",
            pool="pool",
            failure_domain=self.failure_domain,
            host=self._host,
            labels=self.labels,
            processors_millicores=self.processors_millicores,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
            draining=draining,
            rack="".join(self.labels[1:2]),
        )

    def clock(self, now_ms: int) -> int:
        """Return the worker's local clock, which may run slow."""
        return self._clock_start_ms + int(
            (now_ms - self._started_ms) * self._rate
        )

    def observe_token(self, token: int) -> None:
        """Record the fencing token of another leader's order."""
        self._token = max(self._token, token)

    def advance(self, now_ms: int) -> None:
        """End the runs that are due, and all runs if the lease expired."""
        if not self.up:
            return
        if now_ms >= self._crash_ms and self._crash_cause not in self.running:
            self._crash_ms = NEVER_MS
        if now_ms >= self._crash_ms:
            self._oracle.crashed(self._crash_cause, self.worker_id)
            self.crash()
            if self.on_crash is not None:
                self.on_crash()
            return
        lease_expired = self.clock(now_ms) >= self._lease_end_ms
        for task, running in list(self.running.items()):
            if lease_expired:
                self._end(task, "lost")
            elif now_ms >= running.ends_ms:
                self._end(task, running.outcome)

    def execute(
        self, order: Order, now_ms: int, sent_ms: int | None = None
    ) -> OrderResult:
        """Execute an order, sent at `sent_ms` if late; return the answer."""
        self.advance(now_ms)
        clock_ms = self.clock(now_ms)
        if order.fencing_token < self._token:
            self.fenced += 1
            return OrderRefused(Refusal.FENCED, clock_ms)
        self._token = order.fencing_token
        match order:
            case StartRun():
                return self._start(order, now_ms, sent_ms)
            case StopRun(task=task, run=run):
                self._highest_runs[task] = max(
                    run, self._highest_runs.get(task, 0)
                )
                running = self.running.get(task)
                if running is not None and running.run == run:
                    running.outcome = "stopped"
                    running.ends_ms = min(
                        running.ends_ms, now_ms + STOP_GRACE_MS
                    )
            case PaceRun():
                pass
        return OrderDone(clock_ms)

    def renew_lease(
        self, renewal: RenewLease, now_ms: int
    ) -> RenewLeaseResult:
        """Extend the lease, delete acknowledged ends and list the rest."""
        self.advance(now_ms)
        clock_ms = self.clock(now_ms)
        if renewal.fencing_token < self._token:
            self.fenced += 1
            return OrderRefused(Refusal.FENCED, clock_ms)
        self._token = renewal.fencing_token
        if renewal.lease_end_ms is not None:
            self._extend(renewal.lease_end_ms, clock_ms)
        for row in self._ended:
            if row.number <= renewal.acknowledged_end:
                self._oracle.acknowledged(row.task, row.outcome)
        self._ended = [
            row for row in self._ended if row.number > renewal.acknowledged_end
        ]
        return self.lists(now_ms)

    def lists(self, now_ms: int) -> LeaseRenewed:
        """Return the running and the ended runs."""
        percent = 50 if self.hanging else now_ms // 100 % 100
        running = tuple(
            RunningRun(task, item.run, self.checkpoint, percent, None)
            for task, item in self.running.items()
        )
        ended = tuple(self._ended[: self.ends_listed_max])
        return LeaseRenewed(
            self.clock(now_ms),
            self.incarnation,
            running,
            ended,
            is_complete=len(ended) < self.ends_listed_max,
        )

    @property
    def has_ends(self) -> bool:
        """Whether a lease renewal returns at once."""
        return bool(self._ended)

    def _start(
        self, order: StartRun, now_ms: int, sent_ms: int | None
    ) -> OrderResult:
        clock_ms = self.clock(now_ms)
        if self.refuses_starts:
            self.refused += 1
            return OrderRefused(Refusal.UNHEALTHY, clock_ms)
        running = self.running.get(order.task)
        if running is not None and running.run == order.run:
            self._extend(order.lease_end_ms, clock_ms)
            return OrderDone(clock_ms)
        # A start refused as old or for lack of room extends the lease too.
        if order.run <= self._highest_runs.get(order.task, 0):
            self._extend(order.lease_end_ms, clock_ms)
            return OrderRefused(Refusal.OLD, clock_ms)
        if order.lease_end_ms <= clock_ms:
            return OrderRefused(Refusal.LATE, clock_ms)
        if self.runs_max is not None and len(self.running) >= self.runs_max:
            self._extend(order.lease_end_ms, clock_ms)
            return OrderRefused(Refusal.NO_ROOM, clock_ms)
        self._extend(order.lease_end_ms, clock_ms)
        outcome: RunOutcome = "done"
        if self.failing or self._random.random() < self.failure_ratio:
            outcome = "failed"
        if self.fails is not None and self.fails(order.task):
            outcome = "failed"
        self.failed_runs += outcome == "failed"
        duration_ms = self._random.randint(100, 1_500)
        if self.run_time_ms is not None:
            duration_ms = self.run_time_ms(order.task)
        if self.hanging:
            duration_ms = NEVER_MS
        self.running[order.task] = Running(
            order.run, now_ms + duration_ms, outcome
        )
        self._oracle.started(order.task, self.worker_id, sent_ms)
        if order.task in self.crashing_tasks and self._crash_ms == NEVER_MS:
            self._crash_ms = now_ms + self.crash_delay_ms
            self._crash_cause = order.task
        return OrderDone(clock_ms)

    def _extend(self, lease_end_ms: int, clock_ms: int) -> None:
        limit_ms = clock_ms + LONGEST_LEASE_MS
        self._lease_end_ms = max(
            self._lease_end_ms, min(lease_end_ms, limit_ms)
        )

    def _end(self, task: str, outcome: RunOutcome) -> None:
        running = self.running.pop(task)
        self._highest_runs[task] = max(
            running.run, self._highest_runs.get(task, 0)
        )
        self._end_count += 1
        self._ended.append(
            EndedRun(self._end_count, task, running.run, outcome, "")
        )
        self._oracle.ended(task, running.run, self.worker_id, outcome)
