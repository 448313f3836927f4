"""Metrics of the scheduler."""

from sardinespool.observability.metrics import Metrics


class SchedulerMetrics:
    """Metrics of one scheduler process.

    Parameters
    ----------
    metrics : Metrics
        Registry of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.passes = metrics.counter("passes_total", "Planning passes.")
        self.pass_failures = metrics.counter(
            "pass_failures_total", "Passes that a call ended, by code."
        )
        self.decisions = metrics.counter(
            "decisions_total", "Decisions sent, by kind."
        )
        self.refused_placements = metrics.counter(
            "refused_placements_total",
            "Placements that the group refused, by code.",
        )
        self.plan_ms = metrics.histogram(
            "plan_ms", "Time of one planning pass in milliseconds."
        )
        self.queued_tasks = metrics.gauge(
            "queued_tasks", "Tasks that wait for a placement."
        )
        self.unplaceable_jobs = metrics.gauge(
            "unplaceable_jobs", "Jobs that fit no worker."
        )
