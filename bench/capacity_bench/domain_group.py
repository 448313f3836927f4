"""Domain group of a given size, in memory and in virtual time."""

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
START_UNIX_MS = 1_790_000_000_000
TEAMS = 130
ENTRIES = 3
TASKS_PER_JOB = 4
PLACEMENTS_PER_COMMAND = 100


def team_quotas(count: int) -> dict[str, dict[str, int]]:
    """Return the configuration values of `count` teams."""
    return {
        f"teams/team-{number}": {
            "processors_millicores": 10**9,
            "memory_mb": 10**9,
            "accelerators": 10**6,
            "running_tasks": 10**6,
        }
        for number in range(count)
    }


class DomainGroup:
    """Single-member domain group whose proposals commit immediately."""

    def __init__(self, workers: int, tasks_per_worker: int) -> None:
        self.now = Instant(0, START_UNIX_MS)
        self.machine = DomainMachine(DOMAIN)
        self.service = DomainService(self.machine, DOMAIN, ENTRIES)
        self.workers = workers
        self.tasks_per_worker = tasks_per_worker
        self._accepted_jobs = 0
        self.apply(FormGroup(group_incarnation="0badcafe"))
        self.apply(
            AdoptConfiguration(
                configuration=Configuration(
                    version=1, values=team_quotas(TEAMS)
                )
            )
        )
        self.service.become_leader(self.now)
        self.now = self.now.after(4_000)
        for number in range(workers):
            self.call(self.heartbeat(number))
        self.run_tasks()

    def apply(self, body: CommandBody) -> Reply:
        """Apply a command as committed and return its reply."""
        command = Command(proposed_unix_ms=self.now.unix_ms, body=body)
        return self.machine.apply(command, 1)

    def call(self, request: Request) -> Reply:
        """Serve a request and return its reply."""
        outcome = self.service.handle(request, self.now)
        if isinstance(outcome, ImmediateReply):
            return outcome.reply
        result = self.apply(outcome.body)
        return self.service.build_reply(request, result, self.now)

    def accept_tasks(self, count: int) -> list[str]:
        """Accept jobs with `count` tasks in total; return the task ids."""
        ids: list[str] = []
        while len(ids) < count:
            job = Job(
                job_id=f"scholarships-{self._accepted_jobs:08}",
                team=f"team-{self._accepted_jobs % TEAMS}",
                task_count=min(TASKS_PER_JOB, count - len(ids)),
                processors_millicores=500,
                memory_mb=200,
                task_class=f"class-{self._accepted_jobs % 20}",
                payload='{"work_ms": 60000, "input": "list-2026-12"}',
                finish_deadline_unix_ms=START_UNIX_MS + 3_600_000,
            )
            self._accepted_jobs += 1
            change = JobChange(
                sequence=self.machine.known_job_sequence + 1,
                action="assign",
                job_id=job.job_id,
                job=job,
            )
            self.apply(AcceptJobs(changes=(change,)))
            ids += [f"{job.job_id}/{n}" for n in range(job.task_count)]
        return ids

    def run_tasks(self) -> None:
        """Place tasks on every worker and report them as running."""
        ids = self.accept_tasks(self.workers * self.tasks_per_worker)
        self.place(ids)
        for number in range(self.workers):
            self.call(self.heartbeat(number))

    def place(self, ids: list[str]) -> None:
        """Place tasks on the workers, round robin."""
        self.service.handle_sync_reply(
            DomainSync(
                version=1,
                configuration=None,
                start_permit_deadline_unix_ms=self.now.unix_ms + 2_500,
            ),
            self.now,
        )
        for first in range(0, len(ids), PLACEMENTS_PER_COMMAND):
            batch = ids[first : first + PLACEMENTS_PER_COMMAND]
            self.call(self.placements(batch, first))

    def placements(self, ids: list[str], first: int) -> PlaceTasks:
        """Return a request that places tasks on the workers, round robin."""
        return PlaceTasks(
            scheduler_id="scheduler-centro-1",
            placements=tuple(
                Placement(
                    task_id=task_id,
                    worker_id=worker_id((first + n) % self.workers),
                    expected_attempt=0,
                    processors_millicores=500,
                    memory_mb=200,
                )
                for n, task_id in enumerate(ids)
            ),
        )

    def heartbeat(self, number: int) -> Heartbeat:
        """Return a worker's heartbeat with a report of each of its tasks."""
        name = worker_id(number)
        return Heartbeat(
            worker_id=name,
            incarnation=START_UNIX_MS,
            failure_domain=DOMAIN,
            rack=f"centro-rack-{number // 8}",
            address=f"10.1.{number // 250}.{number % 250 + 1}:8080",
            services=("enrolment",),
            slots=8,
            connections=64,
            processors_millicores=64_000,
            memory_mb=250_000,
            accelerators=2,
            sent_unix_ms=self.now.unix_ms,
            request_latency_p99_ms=12.5,
            tasks=tuple(
                TaskReport(
                    task_id=task.task_id,
                    attempt=task.attempt,
                    state="running",
                    processors_millicores=431,
                    memory_mb=187,
                    slowdown=1.07,
                )
                for task in self.machine.tasks.on_worker(name)
            ),
        )


def worker_id(number: int) -> str:
    """Return the id of a worker."""
    return f"worker-centro-{number:04}"
