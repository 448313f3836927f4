"""Message builders and a single-member domain group in virtual time."""

from typing import Any

from sardinespool.clock import Instant
from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.groups.domain_service import DomainService
from sardinespool.groups.interfaces import ImmediateReply
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import AcceptJobs
from sardinespool.messages.commands import AdoptConfiguration
from sardinespool.messages.commands import Command
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import ConfirmGroup
from sardinespool.messages.commands import FormGroup
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import JobChange
from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import Placement
from sardinespool.messages.tasks import PlaceTasks
from sardinespool.messages.tasks import TaskReport

DOMAIN = "centro"
START_UNIX_MS = 1_000_000_000


def heartbeat(worker_id: str = "w1", **values: Any) -> Heartbeat:
    """Return a heartbeat of a worker that can run four small tasks."""
    defaults: dict[str, Any] = {
        "incarnation": 1,
        "failure_domain": DOMAIN,
        "processors_millicores": 4_000,
        "memory_mb": 1_024,
        "accelerators": 1,
    }
    return Heartbeat(worker_id=worker_id, **(defaults | values))


def report(task_id: str, attempt: int, state: Any, **values: Any) -> Heartbeat:
    """Return a heartbeat of ``w1`` with one task report."""
    task = TaskReport(task_id=task_id, attempt=attempt, state=state, **values)
    return heartbeat(tasks=(task,), sent_unix_ms=START_UNIX_MS)


def place(task_id: str, worker_id: str = "w1", attempt: int = 0) -> Placement:
    """Return a placement that reserves the declared resources."""
    return Placement(
        task_id=task_id,
        worker_id=worker_id,
        expected_attempt=attempt,
        processors_millicores=0,
        memory_mb=0,
    )


class DomainGroupHarness:
    """Domain group whose proposals are committed immediately."""

    def __init__(self, confirmed: bool = True, **form: Any) -> None:
        self.now = Instant(0, START_UNIX_MS)
        self.machine = DomainMachine(DOMAIN)
        self.service = DomainService(self.machine, DOMAIN, 3)
        self._sequence = 0
        self.apply(FormGroup(group_incarnation="g1", **form))
        if confirmed:
            self.apply(ConfirmGroup(reformed=False))
        self.service.become_leader(self.now)

    def apply(self, body: CommandBody) -> Reply:
        """Apply a command as committed."""
        command = Command(proposed_unix_ms=self.now.unix_ms, body=body)
        return self.machine.apply(command, 1)

    def call(self, request: Request) -> Reply:
        """Handle a request and return the reply."""
        outcome = self.service.handle(request, self.now)
        if isinstance(outcome, ImmediateReply):
            return outcome.reply
        result = self.apply(outcome.body)
        return self.service.build_reply(request, result, self.now)

    def advance(self, elapsed_ms: int) -> None:
        """Advance the clock without a tick."""
        self.now = self.now.after(elapsed_ms)

    def tick(self) -> list[CommandBody]:
        """Apply and return the commands that are due."""
        commands = self.service.tick(self.now)
        for command in commands:
            self.apply(command)
        return commands

    def configure(self, version: int, **values: Any) -> None:
        """Adopt a version; ``__`` separates section and name in a key."""
        keys = {key.replace("__", "/"): value for key, value in values.items()}
        domains = {
            key.removeprefix("failure_domains/"): version
            for key in keys
            if key.startswith("failure_domains/")
        }
        self.apply(
            AdoptConfiguration(
                configuration=Configuration(
                    version=version, values=keys, domain_versions=domains
                )
            )
        )

    def job_change(self, action: Any, job_id: str, **values: Any) -> JobChange:
        """Return the next job change of the global group."""
        self._sequence += 1
        return JobChange(
            sequence=self._sequence, action=action, job_id=job_id, **values
        )

    def add_job(self, job_id: str = "j", **values: Any) -> None:
        """Accept a job of the team ``ovens``."""
        defaults: dict[str, Any] = {"team": "ovens", "payload": "bake"}
        job = Job(job_id=job_id, **(defaults | values))
        change = self.job_change("assign", job_id, job=job)
        self.apply(AcceptJobs(changes=(change,)))

    def permit(self, version: int = 0) -> None:
        """Receive a start permit of 2,500 ms."""
        reply = DomainSync(
            version=version,
            configuration=None,
            start_permit_deadline_unix_ms=self.now.unix_ms + 2_500,
        )
        for command in self.service.handle_sync_reply(reply, self.now):
            self.apply(command)

    def place(self, *placements: Placement) -> tuple[str, ...]:
        """Place tasks with a fresh permit; return the refusal codes."""
        self.permit()
        request = PlaceTasks(scheduler_id="s", placements=placements)
        reply = self.call(request)
        return tuple(result.code for result in reply.results)  # type: ignore[union-attr]

    def state_of(self, task_id: str) -> str:
        """Return the state of a task."""
        return self.machine.tasks.tasks[task_id].state

    def run(self, task_id: str = "j/0", worker_id: str = "w1") -> None:
        """Register the worker, place the task there and report it running."""
        attempt = self.machine.tasks.tasks[task_id].attempt
        self.call(heartbeat(worker_id))
        assert self.place(place(task_id, worker_id, attempt)) == ("",)
        running = TaskReport(
            task_id=task_id, attempt=attempt + 1, state="running"
        )
        self.call(heartbeat(worker_id, tasks=(running,)))
