"""Metrics of the entry process."""

from sardinespool.observability.metrics import Metrics


class EntryMetrics:
    """Counters, gauges and histograms of the entry.

    The label `service` takes only service names from the configuration, so
    that callers can't create new series.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.requests = metrics.counter(
            "entry_requests", "Callers' requests by service and outcome."
        )
        self.latency_ms = metrics.histogram(
            "entry_request_latency_ms",
            "Time from a request's arrival to its answer.",
        )
        self.sends = metrics.counter(
            "entry_sends", "Exchanges with endpoints by result."
        )
        self.forwards = metrics.counter(
            "entry_forwards", "Requests sent to another domain's entry."
        )
        self.syncs = metrics.counter(
            "entry_syncs", "Synchronisations with the domain group by result."
        )
        self.queued = metrics.gauge(
            "entry_queued_requests", "Requests that wait for a slot."
        )
        self.in_progress = metrics.gauge(
            "entry_requests_in_progress", "Requests that hold a slot."
        )
        self.version = metrics.gauge(
            "entry_configuration_version", "Configuration version followed."
        )
        self.sync_age_ms = metrics.gauge(
            "entry_sync_age_ms", "Time since the last synchronisation."
        )
        self.clock_difference_ms = metrics.gauge(
            "entry_clock_difference_ms",
            "Wall clock of the domain group's leader less the own one.",
        )
