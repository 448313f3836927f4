"""Decides whether a submitted job is accepted or refused at once.

Load: for many seconds more jobs arrive than can end in time, as a failure
domain is evacuated or callers send bursts. Every job that is accepted then
takes room from others; most are begun, many end late, and many earn nothing.
A job that is refused at once costs nothing, and its caller may come back.

A job is refused if its class is full and the work before it takes longer than
the job can wait, by an optimistic prediction of its own time: if accepted, it
would be late, or its queue would become congested and others late. The time
since its first refusal counts. To refuse only what would end after three
objectives was worse than to accept all: each job then waits nearly as long
(figures in `docs/policy.md`).

The state is held by the leader. The next one accepts until it knows the load.
"""

import copy
import sys

from sardinespool.clock import Instant
from sardinespool.dispatch.class_load import LoadMeter
from sardinespool.dispatch.job_paths import paths_of
from sardinespool.dispatch.returns import Returns
from sardinespool.dispatch.run_times import RunTimes
from sardinespool.dispatch.step_priority import CONGESTED_OBJECTIVE_SHARE
from sardinespool.errors.tasks import OverloadedError
from sardinespool.errors.tasks import UnplaceableJobError
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.workflows import WorkflowSpec
from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Counter

OPTIMISTIC_SPREADS = 1.0
"""Standard deviations by which the job itself is assumed to be faster, and its
objective to be longer, than predicted; five of six jobs are worse."""
FIRST_REFUSAL_MS = 3_000
"""Time after the start of a leadership in which nothing is refused; workers
answer and report within it."""
PROPOSAL_MAX_MS = 10_000
"""Time for which an accepted job is never refused. A leader that can't commit
loses its lease in a tenth of it; 280 jobs a second then take 300 KB."""
UNPLACEABLE_WAIT_MS = 3_000
"""Retry-After of a job that no known worker can hold; a worker that starts is
known after two heartbeats."""
LOG_INTERVAL_MS = 100
"""Shortest time between two log lines; the others are counted."""

_LOG = get_logger("control")


class Admission:
    """Accepts and refuses submitted jobs.

    Parameters
    ----------
    meter : LoadMeter
        Accepted work and capacity.
    run_times : RunTimes
        Learned run times.
    refused_jobs : Counter
        Counts refused jobs by queue and reason.
    enabled : bool
        Whether jobs are refused at all.

    Attributes
    ----------
    refused_jobs : Counter
        Counts refused jobs by queue and reason.
    """

    def __init__(
        self,
        meter: LoadMeter,
        run_times: RunTimes,
        refused_jobs: Counter,
        enabled: bool,
    ) -> None:
        self._meter = meter
        self._run_times = run_times
        self.refused_jobs = refused_jobs
        self._enabled = enabled
        self._begun_boot_ms = 0
        self._log_due_boot_ms = 0
        self._unlogged = 0
        self._returns = Returns()
        self._proposed: dict[str, int] = {}

    def copy(self, refused_jobs: Counter) -> "Admission":
        """Return a copy that logs nothing, to check a job without effects."""
        admission = copy.copy(self)
        admission._meter = self._meter.copy()
        admission.refused_jobs = refused_jobs
        admission._returns = copy.deepcopy(self._returns)
        admission._proposed = dict(self._proposed)
        admission._log_due_boot_ms = sys.maxsize
        return admission

    def begin(self, now: Instant) -> None:
        """Forget the load that an earlier leadership has seen."""
        self._meter.reset()
        self._returns.reset()
        self._proposed.clear()
        self._begun_boot_ms = now.boot_ms

    def check(
        self, job_id: str, queue: QueueSpec, spec: WorkflowSpec, now: Instant
    ) -> None:
        """Raise an error if a job is to be refused.

        Parameters
        ----------
        job_id : str
            Id of a job that is not stored.
        queue : QueueSpec
            Its queue.
        spec : WorkflowSpec
            The job.
        now : Instant
            Current time.

        Raises
        ------
        OverloadedError
            The job would end too late.
        UnplaceableJobError
            No worker that is known now can hold one of its tasks.
        """
        if (
            not self._enabled
            or spec.repetitions
            # Partial service of these is better than none.
            or any(step.long_running for step in spec.steps)
            or now.boot_ms - self._begun_boot_ms < FIRST_REFUSAL_MS
            # Its commit may be under way, and a refusal would not be true.
            or job_id in self._proposed
        ):
            self._remember(job_id, now)
            return
        self._meter.refresh(now)
        for position, step in enumerate(spec.steps):
            # Workers come and go, so it is not refused for good.
            if not self._meter.can_hold(queue, step):
                raise UnplaceableJobError(
                    "No known worker can hold a task of the job.",
                    step=position,
                    retry_after_s=self._refuse(
                        job_id, queue, "size", UNPLACEABLE_WAIT_MS, now
                    ),
                )
        times = paths_of(self._run_times, job_id, queue.name, spec)
        load = self._meter.load_of(queue, spec.steps[0])
        if not load.has_room(spec.steps[0]):
            self._check_wait(job_id, queue, spec, now)
        self._returns.accept(job_id)
        self._remember(job_id, now)
        for step, task_ms in zip(spec.steps, times.tasks_ms, strict=True):
            load = self._meter.load_of(queue, step)
            load.add_work(
                queue.priority,
                task_ms * step.count * step.processors_millicores,
            )
            if not step.after:
                load.add_accepted(step)

    def _remember(self, job_id: str, now: Instant) -> None:
        """Remember an accepted job until its proposal is committed or lost."""
        if not self._enabled:
            return
        self._proposed[job_id] = now.boot_ms
        while self._proposed:
            earliest = next(iter(self._proposed))
            if now.boot_ms - self._proposed[earliest] < PROPOSAL_MAX_MS:
                return
            del self._proposed[earliest]

    def _check_wait(
        self,
        job_id: str,
        queue: QueueSpec,
        spec: WorkflowSpec,
        now: Instant,
    ) -> None:
        """Refuse a job that would wait too long in a full class."""
        load = self._meter.load_of(queue, spec.steps[0])
        rate_millicores = load.rate_millicores
        if rate_millicores <= 0:
            # All workers are away; what comes back, and when, is unknown.
            return
        run_ms, objective_run_ms = (
            paths_of(
                self._run_times, job_id, queue.name, spec, spreads
            ).critical_ms
            for spreads in (-OPTIMISTIC_SPREADS, OPTIMISTIC_SPREADS)
        )
        age_ms = self._returns.age_ms(job_id, now.boot_ms)
        # Callers count the objective from the times that the tasks take.
        objective_ms = (
            queue.latency_objective_ms + queue.stretch * objective_run_ms
        )
        slack_ms = CONGESTED_OBJECTIVE_SHARE * objective_ms - run_ms - age_ms
        wait_ms = load.work_ahead(queue.priority) / rate_millicores
        if wait_ms <= slack_ms:
            return
        raise OverloadedError(
            "The job would end too late.",
            wait_ms=int(wait_ms),
            slack_ms=int(max(0.0, slack_ms)),
            retry_after_s=self._refuse(
                job_id,
                queue,
                "late",
                wait_ms - slack_ms,
                now,
                wait_ms=int(wait_ms),
                rate_millicores=int(rate_millicores),
                run_ms=int(run_ms),
                objective_ms=int(objective_ms),
                age_ms=age_ms,
            ),
        )

    def _refuse(
        self,
        job_id: str,
        queue: QueueSpec,
        reason: str,
        too_long_ms: float,
        now: Instant,
        **inputs: object,
    ) -> int:
        """Remember and log a refusal; return its Retry-After in seconds."""
        retry_s = self._returns.refuse(job_id, too_long_ms, now.boot_ms)
        self.refused_jobs.inc(queue=queue.name, reason=reason)
        if now.boot_ms < self._log_due_boot_ms:
            self._unlogged += 1
            return retry_s
        self._log_due_boot_ms = now.boot_ms + LOG_INTERVAL_MS
        _LOG.info(
            "job refused",
            job=job_id,
            queue=queue.name,
            reason=reason,
            retry_after_s=retry_s,
            unlogged=self._unlogged,
            **inputs,
        )
        self._unlogged = 0
        return retry_s
