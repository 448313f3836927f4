"""Metrics of the store program."""

from sardinespool.observability.metrics import Metrics


class StoreMetrics:
    """Metrics of all groups of a process.

    Parameters
    ----------
    metrics : Metrics
        Registry of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.sync_latency_ms = metrics.histogram(
            "log_sync_latency_ms", "Time of one sync of a group's log."
        )
        self.applied_entries = metrics.counter(
            "applied_entries_total", "Log entries applied."
        )
        self.calls = metrics.counter(
            "calls_total", "Calls by request type and result code."
        )
        self.call_latency_ms = metrics.histogram(
            "call_latency_ms", "Time from a call to its reply."
        )
        self.work_ms = metrics.histogram(
            "group_work_ms",
            "Time of work that held up a group for 10 ms or more, by kind.",
        )
        self.term = metrics.gauge("term", "Present term of a group.")
        self.commit_index = metrics.gauge(
            "commit_index", "Last committed index of a group."
        )
        self.serving = metrics.gauge(
            "serving", "1 while this member leads with a valid lease."
        )
