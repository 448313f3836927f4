"""Random runs of tasks, workers, leaders and a faulty network."""

from typing import Any

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.groups.contract import Answer
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.groups.domain_service import DomainService
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
from testing.groups.domain_model_worker import ModelWorker
from testing.groups.domain_model_worker import WorkLog
from testing.groups.domain_support import DOMAIN
from testing.groups.domain_support import place
from testing.groups.domain_support import START_UNIX_MS

PERMIT_MS = 2_500
LARGEST_SKEW_MS = 125
"""Clocks within this of real time are within 250 ms of each other."""

WORKERS = st.integers(0, 2)
PICK = st.integers(0, 99)


class DomainModel(stateful.RuleBasedStateMachine):
    """One group with pending proposals and messages under way."""

    def __init__(self) -> None:
        super().__init__()
        self.real_unix_ms = START_UNIX_MS
        self.leader_skew_ms = LARGEST_SKEW_MS
        self.log = WorkLog()
        skews = (-LARGEST_SKEW_MS, 0, LARGEST_SKEW_MS)
        self.workers = [
            ModelWorker(f"w{number}", skew, self.log)
            for number, skew in enumerate(skews)
        ]
        self.machine = DomainMachine(DOMAIN)
        self.replica = DomainMachine(DOMAIN)
        self.service = DomainService(self.machine, DOMAIN, 1)
        self.pending: list[tuple[Command, Request | None]] = []
        self.heartbeats: list[Heartbeat] = []
        self.sent: list[Heartbeat] = []
        self.replies: list[tuple[Heartbeat, HeartbeatReply]] = []
        self.syncs: list[DomainSync] = []
        self.changes: list[JobChange] = []
        self.version = 1
        self.in_service = True
        self.propose(FormGroup(group_incarnation="g1"), None)
        self.commit(99)
        self.service.become_leader(self.now)
        # Most random runs would otherwise end before the first start.
        for worker in range(3):
            self.exchange(worker)
        for _ in range(3):
            self.submit(3)
        self.work(0, 2)

    @property
    def now(self) -> Instant:
        """Return the leader's clock."""
        return Instant(
            self.real_unix_ms, self.real_unix_ms + self.leader_skew_ms
        )

    def propose(self, body: CommandBody, request: Request | None) -> None:
        """Append to the leader's log."""
        command = Command(proposed_unix_ms=self.now.unix_ms, body=body)
        self.pending.append((command, request))

    def call(self, request: Request) -> None:
        """Serve a request; the reply to a heartbeat gets under way."""
        try:
            outcome = self.service.handle(request, self.now)
        except SardinespoolError:
            return
        if isinstance(outcome, Answer):
            self.answer(request, outcome.reply)
        else:
            self.propose(outcome.body, request)

    def answer(self, request: Request, reply: Any) -> None:
        """Send a reply."""
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
                self.answer(
                    request, self.service.complete(request, result, self.now)
                )
        assert self.machine.snapshot() == self.replica.snapshot()

    @stateful.rule(kept=st.integers(0, 9), skew=st.sampled_from([-1, 0, 1]))
    def change_leader(self, kept: int, skew: int) -> None:
        """Elect a replica that holds some of the pending proposals."""
        self.pending = [(command, None) for command, _ in self.pending[:kept]]
        self.service.step_down()
        self.commit(kept)
        self.replica.restore(self.machine.snapshot())
        self.machine, self.replica = self.replica, self.machine
        self.leader_skew_ms = skew * LARGEST_SKEW_MS
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
        """Propose what is due."""
        for command in self.service.tick(self.now):
            self.propose(command, None)

    @stateful.rule(task_count=st.integers(1, 3))
    def submit(self, task_count: int) -> None:
        """Submit a job at the global group."""
        number = len(self.changes) + 1
        job = Job(job_id=f"j{number}", team="ovens", task_count=task_count)
        self.changes.append(
            JobChange(
                sequence=number, action="assign", job_id=job.job_id, job=job
            )
        )

    @stateful.precondition(lambda self: self.changes)
    @stateful.rule(pick=PICK)
    def cancel(self, pick: int) -> None:
        """Cancel a job at the global group."""
        job_id = self.changes[pick % len(self.changes)].job_id
        number = len(self.changes) + 1
        self.changes.append(
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
    def answer_sync(self) -> None:
        """Answer the domain at the global group."""
        state = "in-service" if self.in_service else "out-of-service"
        values = {f"failure_domains/{DOMAIN}": {"state": state}}
        deadline_unix_ms = self.real_unix_ms + PERMIT_MS
        self.syncs.append(
            DomainSync(
                version=self.version,
                configuration=Configuration(
                    version=self.version, values=values
                ),
                start_permit_deadline_unix_ms=(
                    deadline_unix_ms if self.in_service else 0
                ),
                job_changes=tuple(self.changes),
            )
        )

    @stateful.precondition(lambda self: self.syncs)
    @stateful.rule(pick=PICK)
    def deliver_sync(self, pick: int) -> None:
        """Deliver any answer of the global group."""
        reply = self.syncs.pop(pick % len(self.syncs))
        for command in self.service.sync_reply(reply, self.now):
            self.propose(command, None)

    @stateful.rule()
    def synchronise(self) -> None:
        """Pass one answer of the global group without a fault."""
        self.answer_sync()
        self.deliver_sync(len(self.syncs) - 1)

    @stateful.rule(worker=WORKERS)
    def send_heartbeat(self, worker: int) -> None:
        """Send a heartbeat."""
        sent = self.workers[worker].heartbeat(self.real_unix_ms)
        self.heartbeats.append(sent)
        self.sent.append(sent)

    @stateful.precondition(lambda self: self.heartbeats)
    @stateful.rule(pick=PICK, again=st.booleans())
    def deliver_heartbeat(self, pick: int, again: bool) -> None:
        """Deliver any heartbeat; keep it for another delivery or not."""
        pick %= len(self.heartbeats)
        self.call(self.heartbeats[pick])
        if not again:
            del self.heartbeats[pick]

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(pick=PICK, again=st.booleans())
    def deliver_reply(self, pick: int, again: bool) -> None:
        """Deliver any reply; keep it for another delivery or not."""
        pick %= len(self.replies)
        sent, reply = self.replies[pick]
        if not again:
            del self.replies[pick]
        worker = self.workers[int(sent.worker_id[1:])]
        known = set(worker.ended)
        worker.receive(sent, reply, self.real_unix_ms)
        for report in sent.tasks:
            durable = (report.task_id, report.attempt) in known - set(
                worker.ended
            )
            task = self.machine.tasks.tasks[report.task_id]
            if durable and report.state == task.state == "completed":
                self.log.acknowledged.add(report.task_id)
            recorded = (task.checkpoint_attempt, task.checkpoint)
            if durable and recorded == (report.attempt, report.checkpoint):
                self.log.checkpoints[report.task_id] = int(task.checkpoint)

    @stateful.rule(worker=WORKERS)
    def exchange(self, worker: int) -> None:
        """Pass one heartbeat and its reply without a fault."""
        self.send_heartbeat(worker)
        self.deliver_heartbeat(len(self.heartbeats) - 1, False)
        self.commit(99)
        if self.replies:
            self.deliver_reply(len(self.replies) - 1, False)

    @stateful.rule(worker=WORKERS, pick=PICK)
    def work(self, worker: int, pick: int) -> None:
        """Place tasks on a worker and start them without a fault."""
        self.synchronise()
        self.commit(99)
        self.exchange(worker)
        self.schedule(worker, pick)
        self.commit(99)
        self.exchange(worker)

    @stateful.rule(first=WORKERS, elapsed_ms=st.sampled_from([1_000, 3_000]))
    def keep_alive(self, first: int, elapsed_ms: int) -> None:
        """Let time pass while two workers exchange heartbeats."""
        self.advance(elapsed_ms)
        self.exchange(first)
        self.exchange((first + 1) % 3)
        self.tick()

    @stateful.rule(
        worker=WORKERS,
        step_ms=st.sampled_from([1_400, 2_100]),
        late=st.booleans(),
    )
    def lose_worker(self, worker: int, step_ms: int, late: bool) -> None:
        """Cut a worker off for less or more than its lease.

        Tasks are still placed on it. Its last heartbeat before the cut may
        arrive while the loss is proposed and not yet committed.
        """
        self.exchange(worker)
        self.send_heartbeat(worker)
        sent = self.heartbeats.pop()
        others = [number for number in range(3) if number != worker]
        for _ in range(3):
            self.advance(step_ms)
            for other in others:
                self.exchange(other)
        self.schedule(worker, 5)
        self.commit(99)
        self.tick()
        if late:
            self.call(sent)
            if self.replies:
                self.deliver_reply(len(self.replies) - 1, False)
        self.commit(99)
        self.work(others[0], 5)

    @stateful.rule(pick=PICK)
    def replay_heartbeat(self, pick: int) -> None:
        """Deliver again any heartbeat that was ever sent."""
        self.call(self.sent[pick % len(self.sent)])
        self.commit(99)

    @stateful.rule(worker=WORKERS, pick=PICK)
    def stop_and_resume(self, worker: int, pick: int) -> None:
        """Have a task stop, go on at the same worker, and go on elsewhere."""
        running = sorted(self.workers[worker].running)
        if not running:
            return
        self.workers[worker].end(running[pick % len(running)], "stopped")
        self.exchange(worker)
        self.work(worker, 5)
        self.replay_heartbeat(len(self.sent) - 3)
        self.work((worker + 1) % 3, 5)

    @stateful.rule(worker=WORKERS)
    def complete(self, worker: int) -> None:
        """Complete all tasks of a worker and report it."""
        for task_id in sorted(self.workers[worker].running):
            self.workers[worker].end(task_id, "completed")
        self.exchange(worker)
        self.exchange(worker)

    @stateful.rule()
    def lose_messages(self) -> None:
        """Lose everything under way."""
        self.heartbeats.clear()
        self.replies.clear()
        self.syncs.clear()

    @stateful.rule(worker=WORKERS, pick=PICK)
    def schedule(self, worker: int, pick: int) -> None:
        """Place queued tasks, with the newest permit, on a worker."""
        queued = self.machine.tasks.in_state("queued")
        if not queued:
            return
        placements = tuple(
            place(task.task_id, f"w{worker}", task.attempt)
            for task in queued[: 1 + pick % 6]
        )
        self.synchronise()
        self.call(PlaceTasks(scheduler_id="s", placements=placements))

    @stateful.rule(pick=PICK)
    def evict(self, pick: int) -> None:
        """Evict a task."""
        active = self.machine.tasks.in_state("placed", "running")
        if active:
            task_id = active[pick % len(active)].task_id
            self.call(EvictTasks(task_ids=(task_id,), reason="room"))

    @stateful.rule(
        worker=WORKERS,
        pick=PICK,
        state=st.sampled_from(["completed", "failed", "stopped"]),
        reported=st.booleans(),
    )
    def end_task(
        self, worker: int, pick: int, state: str, reported: bool
    ) -> None:
        """End a running attempt at its worker."""
        running = sorted(self.workers[worker].running)
        if running:
            self.workers[worker].end(running[pick % len(running)], state)
        if reported:
            self.exchange(worker)

    @stateful.rule(worker=WORKERS)
    def restart_worker(self, worker: int) -> None:
        """Crash a worker and start it again."""
        self.workers[worker].restart()

    def teardown(self) -> None:
        """Without further faults, every task ends and frees its room."""
        if not self.in_service:
            self.toggle_service()
        for _ in range(40):
            self.advance(1_000)
            self.tick()
            self.commit(99)
            for worker in range(3):
                self.work(worker, 5)
                for task_id in list(self.workers[worker].running):
                    self.workers[worker].end(task_id, "completed")
        tasks = self.machine.tasks
        assert all(task.is_terminal for task in tasks.all_tasks())
        for worker in range(3):
            assert tasks.reserved_on(f"w{worker}").running_tasks == 0
        assert not self.log.live


TestDomainModel = DomainModel.TestCase
TestDomainModel.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
)
