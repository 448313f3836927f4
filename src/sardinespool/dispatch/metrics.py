"""Metrics of the dispatcher."""

from sardinespool.observability.metrics import Metrics


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
        self.runs = metrics.counter(
            "runs_ended_total", "Runs that ended, by outcome."
        )
        self.orders = metrics.counter(
            "orders_total", "Orders to workers, by kind and answer."
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
        self.silent_runs = metrics.gauge(
            "silent_runs", "Runs on workers that do not answer."
        )
