"""Metrics of the dispatcher."""

from sardinespool.observability.metrics import Metrics
from sardinespool.workflows.records import WorkflowRecord


class DispatchMetrics:
    """Metrics of the leader; names end in their unit or ``_total``.

    Parameters
    ----------
    metrics : Metrics
        Metrics registry of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.jobs = metrics.counter(
            "jobs_ended_total", "Jobs that ended, by queue and state."
        )
        self.refused_jobs = metrics.counter(
            "jobs_refused_total",
            "Submitted jobs that were refused, by queue and reason.",
        )
        self.runs = metrics.counter(
            "runs_ended_total", "Runs that ended, by outcome."
        )
        self.crashes = metrics.counter(
            "worker_crashes_total", "Crashes of workers with runs."
        )
        self.suspects = metrics.counter(
            "crash_suspects_total", "Runs that may have crashed their worker."
        )
        self.jobs_given_up = metrics.counter(
            "jobs_given_up_total",
            "Jobs that failed because a task crashed its workers, by queue.",
        )
        self.orders = metrics.counter(
            "orders_total", "Orders to workers, by kind and answer."
        )
        self.renewals = metrics.counter(
            "lease_renewals_total", "Lease renewals of workers, by answer."
        )
        self.other_incarnations = metrics.counter(
            "other_incarnations_total",
            "Answers of another incarnation than the one called, by call.",
        )
        self.completion_ms = metrics.histogram(
            "job_completion_ms", "Time from acceptance to the end of a job."
        )
        self.ready_steps = metrics.gauge(
            "ready_steps", "Steps with tasks that wait for a worker."
        )
        self.congested_queues = metrics.gauge(
            "congested_queues", "Queues whose jobs start newest first."
        )
        self.workspace_holds = metrics.counter(
            "workspace_holds_total",
            "Times a workspace began to be held back, by reason.",
        )
        self.workspace_millicores = metrics.gauge(
            "workspace_millicores",
            "Processors of all that a workspace may have running.",
        )
        self.near_starts = metrics.counter(
            "near_starts_total",
            "Starts of tasks that want a rack, by place (near or remote) and"
            " the reason of a remote start.",
        )
        self.near_waiting_steps = metrics.gauge(
            "near_waiting_steps", "Steps that wait for a worker near data."
        )
        self.silent_runs = metrics.gauge(
            "silent_runs", "Runs on workers that do not answer."
        )

    def job_ended(
        self, workflow: WorkflowRecord, age_ms: int, failed_by_crash: bool
    ) -> None:
        """Count an ended job.

        Parameters
        ----------
        workflow : WorkflowRecord
            The job.
        age_ms : int
            Time since its acceptance.
        failed_by_crash : bool
            Whether it failed because a task crashed its workers.
        """
        queue = workflow.queue.name
        self.jobs.inc(queue=queue, state=workflow.state)
        self.completion_ms.observe(age_ms)
        if failed_by_crash:
            self.jobs_given_up.inc(queue=queue)
