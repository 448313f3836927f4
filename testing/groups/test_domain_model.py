"""Model-based test of a domain group with failovers and message faults."""

from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.groups.domain_service import DomainService
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import FormGroup
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import JobChange
from sardinespool.messages.tasks import EvictTasks
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply
from sardinespool.messages.tasks import PlaceTasks
from testing.groups.domain_model_worker import ExecutionLog
from testing.groups.domain_model_worker import ModelWorker
from testing.groups.domain_support import DOMAIN
from testing.groups.domain_support import place
from testing.groups.domain_support import START_UNIX_MS

PERMIT_MS = 2_500
CLOCK_SKEW_MAX_MS = 125
"""Keeps any two clocks within the allowed error of 250 ms."""

WORKERS = st.integers(0, 2)
PICKS = st.integers(0, 99)


class DomainModel(stateful.RuleBasedStateMachine):
    """A domain group with uncommitted proposals and messages in flight."""

    def __init__(self) -> None:
        super().__init__()
        self.real_unix_ms = START_UNIX_MS
        self.leader_skew_ms = CLOCK_SKEW_MAX_MS
        self.log = ExecutionLog()
        skews = (-CLOCK_SKEW_MAX_MS, 0, CLOCK_SKEW_MAX_MS)
        self.workers = [
            ModelWorker(f"w{number}", skew, self.log)
            for number, skew in enumerate(skews)
        ]
        self.machine = DomainMachine(DOMAIN)
        self.replica = DomainMachine(DOMAIN)
        self.service = DomainService(self.machine, DOMAIN, 1)
        self.pending: list[tuple[Command, Request | None]] = []
        self.heartbeats: list[Heartbeat] = []
        self.sent_heartbeats: list[Heartbeat] = []
        self.replies: list[tuple[Heartbeat, HeartbeatReply]] = []
        self.sync_replies: list[DomainSync] = []
        self.job_changes: list[JobChange] = []
        self.version = 1
        self.in_service = True
        self.propose(FormGroup(group_incarnation="g1"), None)
        self.commit(99)
        self.service.become_leader(self.now)
        # Otherwise most random runs would end before the first task start.
        for worker in range(3):
            self.exchange_heartbeat(worker)
        for _ in range(3):
            self.submit(3)
        self.place_and_start(0, 2)

    @property
    def now(self) -> Instant:
        """Return the leader's clock."""
        return Instant(
            self.real_unix_ms, self.real_unix_ms + self.leader_skew_ms
        )

    def propose(self, body: CommandBody, request: Request | None) -> None:
        """Append a command to the leader's pending log."""
        command = Command(proposed_unix_ms=self.now.unix_ms, body=body)
        self.pending.append((command, request))

    def call(self, request: Request) -> None:
        """Handle a request; keep the reply to a heartbeat in flight."""
        try:
            outcome = self.service.handle(request, self.now)
        except SardinespoolError:
            return
        if isinstance(outcome, ImmediateReply):
            self.send_reply(request, outcome.reply)
        else:
            self.propose(outcome.body, request)

    def send_reply(self, request: Request, reply: Any) -> None:
        """Put the reply to a heartbeat in flight."""
        if isinstance(request, Heartbeat) and isinstance(
            reply, HeartbeatReply
        ):
            self.replies.append((request, reply))

    @stateful.rule(count=st.integers(1, 9))
    def commit(self, count: int) -> None:
        """Apply the oldest proposals on the leader and on a replica."""
        for _ in range(min(count, len(self.pending))):
            command, request = self.pending.pop(0)
            result = self.machine.apply(command, 1)
            assert self.replica.apply(command, 1) == result
            if request is not None:
                self.send_reply(
                    request,
                    self.service.build_reply(request, result, self.now),
                )
        assert self.machine.snapshot() == self.replica.snapshot()

    @stateful.rule(kept=st.integers(0, 9), skew=st.sampled_from([-1, 0, 1]))
    def change_leader(self, kept: int, skew: int) -> None:
        """Elect the replica, which holds the first `kept` proposals."""
        self.pending = [(command, None) for command, _ in self.pending[:kept]]
        self.service.step_down()
        self.commit(kept)
        self.replica.restore(self.machine.snapshot())
        self.machine, self.replica = self.replica, self.machine
        self.leader_skew_ms = skew * CLOCK_SKEW_MAX_MS
        self.service = DomainService(self.machine, DOMAIN, 1)
        self.service.become_leader(self.now)

    @stateful.rule(elapsed_ms=st.sampled_from([50, 300, 1_000, 2_600, 6_400]))
    def advance(self, elapsed_ms: int) -> None:
        """Let time pass."""
        self.real_unix_ms += elapsed_ms
        for worker in self.workers:
            worker.advance(self.real_unix_ms)

    @stateful.rule()
    def tick(self) -> None:
        """Propose the commands that are due."""
        for command in self.service.tick(self.now):
            self.propose(command, None)

    @stateful.rule(task_count=st.integers(1, 3))
    def submit(self, task_count: int) -> None:
        """Submit a job at the global group."""
        number = len(self.job_changes) + 1
        job = Job(job_id=f"j{number}", team="ovens", task_count=task_count)
        self.job_changes.append(
            JobChange(
                sequence=number, action="assign", job_id=job.job_id, job=job
            )
        )

    @stateful.precondition(lambda self: self.job_changes)
    @stateful.rule(pick=PICKS)
    def cancel(self, pick: int) -> None:
        """Cancel a job at the global group."""
        job_id = self.job_changes[pick % len(self.job_changes)].job_id
        number = len(self.job_changes) + 1
        self.job_changes.append(
            JobChange(sequence=number, action="cancel", job_id=job_id)
        )

    @stateful.rule()
    def toggle_service(self) -> None:
        """Take the domain out of service or return it."""
        self.version += 1
        self.in_service = not self.in_service
        self.log.last_start_unix_ms = (
            2**53 if self.in_service else self.real_unix_ms + PERMIT_MS
        )

    @stateful.rule()
    def send_sync_reply(self) -> None:
        """Build a sync reply of the global group."""
        state = "in-service" if self.in_service else "out-of-service"
        values = {f"failure_domains/{DOMAIN}": {"state": state}}
        deadline_unix_ms = self.real_unix_ms + PERMIT_MS
        self.sync_replies.append(
            DomainSync(
                version=self.version,
                configuration=Configuration(
                    version=self.version, values=values
                ),
                start_permit_deadline_unix_ms=(
                    deadline_unix_ms if self.in_service else 0
                ),
                job_changes=tuple(self.job_changes),
            )
        )

    @stateful.precondition(lambda self: self.sync_replies)
    @stateful.rule(pick=PICKS)
    def deliver_sync(self, pick: int) -> None:
        """Deliver one of the sync replies in flight."""
        reply = self.sync_replies.pop(pick % len(self.sync_replies))
        for command in self.service.handle_sync_reply(reply, self.now):
            self.propose(command, None)

    @stateful.rule()
    def sync_with_global_group(self) -> None:
        """Deliver a new sync reply without a fault."""
        self.send_sync_reply()
        self.deliver_sync(len(self.sync_replies) - 1)

    @stateful.rule(worker=WORKERS)
    def send_heartbeat(self, worker: int) -> None:
        sent = self.workers[worker].heartbeat(self.real_unix_ms)
        self.heartbeats.append(sent)
        self.sent_heartbeats.append(sent)

    @stateful.precondition(lambda self: self.heartbeats)
    @stateful.rule(pick=PICKS, duplicate=st.booleans())
    def deliver_heartbeat(self, pick: int, duplicate: bool) -> None:
        """Deliver one heartbeat in flight; keep it to deliver a duplicate."""
        pick %= len(self.heartbeats)
        self.call(self.heartbeats[pick])
        if not duplicate:
            del self.heartbeats[pick]

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(pick=PICKS, duplicate=st.booleans())
    def deliver_reply(self, pick: int, duplicate: bool) -> None:
        """Deliver one reply in flight; keep it to deliver a duplicate."""
        pick %= len(self.replies)
        sent, reply = self.replies[pick]
        if not duplicate:
            del self.replies[pick]
        worker = self.workers[int(sent.worker_id[1:])]
        reports_before = set(worker.terminal_reports)
        worker.receive(sent, reply, self.real_unix_ms)
        for report in sent.tasks:
            durable = (report.task_id, report.attempt) in reports_before - set(
                worker.terminal_reports
            )
            task = self.machine.tasks.tasks[report.task_id]
            if durable and report.state == task.state == "completed":
                self.log.acknowledged.add(report.task_id)
            recorded = (task.checkpoint_attempt, task.checkpoint)
            if durable and recorded == (report.attempt, report.checkpoint):
                self.log.checkpoints[report.task_id] = int(task.checkpoint)

    @stateful.rule(worker=WORKERS)
    def exchange_heartbeat(self, worker: int) -> None:
        """Deliver a new heartbeat and its reply without a fault."""
        self.send_heartbeat(worker)
        self.deliver_heartbeat(len(self.heartbeats) - 1, False)
        self.commit(99)
        if self.replies:
            self.deliver_reply(len(self.replies) - 1, False)

    @stateful.rule(worker=WORKERS, pick=PICKS)
    def place_and_start(self, worker: int, pick: int) -> None:
        """Place tasks on a worker and start them without a fault."""
        self.sync_with_global_group()
        self.commit(99)
        self.exchange_heartbeat(worker)
        self.schedule(worker, pick)
        self.commit(99)
        self.exchange_heartbeat(worker)

    @stateful.rule(first=WORKERS, elapsed_ms=st.sampled_from([1_000, 3_000]))
    def keep_alive(self, first: int, elapsed_ms: int) -> None:
        """Let time pass while two workers exchange heartbeats."""
        self.advance(elapsed_ms)
        self.exchange_heartbeat(first)
        self.exchange_heartbeat((first + 1) % 3)
        self.tick()

    @stateful.rule(
        worker=WORKERS,
        step_ms=st.sampled_from([1_400, 2_100]),
        late=st.booleans(),
    )
    def partition_worker(self, worker: int, step_ms: int, late: bool) -> None:
        """Partition a worker for less or more than its lease, and place on it.

        With `late`, its last heartbeat arrives while the loss is pending.
        """
        self.exchange_heartbeat(worker)
        self.send_heartbeat(worker)
        sent = self.heartbeats.pop()
        other_workers = [number for number in range(3) if number != worker]
        for _ in range(3):
            self.advance(step_ms)
            for other in other_workers:
                self.exchange_heartbeat(other)
        self.schedule(worker, 5)
        self.commit(99)
        self.tick()
        if late:
            self.call(sent)
            if self.replies:
                self.deliver_reply(len(self.replies) - 1, False)
        self.commit(99)
        self.place_and_start(other_workers[0], 5)

    @stateful.rule(pick=PICKS)
    def replay_heartbeat(self, pick: int) -> None:
        """Deliver any earlier heartbeat again."""
        self.call(self.sent_heartbeats[pick % len(self.sent_heartbeats)])
        self.commit(99)

    @stateful.rule(worker=WORKERS, pick=PICKS)
    def stop_and_resume(self, worker: int, pick: int) -> None:
        """Stop a task, resume it on the same worker, then on another."""
        running = sorted(self.workers[worker].running)
        if not running:
            return
        self.workers[worker].end(running[pick % len(running)], "stopped")
        self.exchange_heartbeat(worker)
        self.place_and_start(worker, 5)
        self.replay_heartbeat(len(self.sent_heartbeats) - 3)
        self.place_and_start((worker + 1) % 3, 5)

    @stateful.rule(worker=WORKERS)
    def complete(self, worker: int) -> None:
        """Complete all tasks of a worker and report the completions."""
        for task_id in sorted(self.workers[worker].running):
            self.workers[worker].end(task_id, "completed")
        self.exchange_heartbeat(worker)
        self.exchange_heartbeat(worker)

    @stateful.rule()
    def drop_messages(self) -> None:
        """Drop all messages in flight."""
        self.heartbeats.clear()
        self.replies.clear()
        self.sync_replies.clear()

    @stateful.rule(worker=WORKERS, pick=PICKS)
    def schedule(self, worker: int, pick: int) -> None:
        """Place queued tasks on a worker under a new start permit."""
        queued = self.machine.tasks.in_state("queued")
        if not queued:
            return
        placements = tuple(
            place(task.task_id, f"w{worker}", task.attempt)
            for task in queued[: 1 + pick % 6]
        )
        self.sync_with_global_group()
        self.call(PlaceTasks(scheduler_id="s", placements=placements))

    @stateful.rule(pick=PICKS)
    def evict(self, pick: int) -> None:
        active = self.machine.tasks.in_state("placed", "running")
        if active:
            task_id = active[pick % len(active)].task_id
            self.call(EvictTasks(task_ids=(task_id,), reason="room"))

    @stateful.rule(
        worker=WORKERS,
        pick=PICKS,
        state=st.sampled_from(["completed", "failed", "stopped"]),
        reported=st.booleans(),
    )
    def end_task(
        self, worker: int, pick: int, state: str, reported: bool
    ) -> None:
        """End a running attempt on its worker."""
        running = sorted(self.workers[worker].running)
        if running:
            self.workers[worker].end(running[pick % len(running)], state)
        if reported:
            self.exchange_heartbeat(worker)

    @stateful.rule(worker=WORKERS)
    def restart_worker(self, worker: int) -> None:
        """Crash a worker and restart it."""
        self.workers[worker].restart()

    def teardown(self) -> None:
        """Check that without faults each task ends and frees its resources."""
        if not self.in_service:
            self.toggle_service()
        for _ in range(40):
            self.advance(1_000)
            self.tick()
            self.commit(99)
            for worker in range(3):
                self.place_and_start(worker, 5)
                for task_id in list(self.workers[worker].running):
                    self.workers[worker].end(task_id, "completed")
        tasks = self.machine.tasks
        assert all(task.is_terminal for task in tasks.all_tasks())
        for worker in range(3):
            assert tasks.reserved_on(f"w{worker}").running_tasks == 0
        assert not self.log.worker_by_task


TestDomainModel = DomainModel.TestCase
TestDomainModel.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
)
