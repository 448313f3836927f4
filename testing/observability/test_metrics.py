"""Tests of the metrics text format."""

import pytest

from sardinespool.observability.metrics import Metrics

LABELS = 'name="store-1",program="store"'


def test_text_format() -> None:
    """Guards against series without unit suffix, labels or last bucket."""
    metrics = Metrics("store", "store-1")
    syncs = metrics.counter("syncs", "Synced batches.")
    syncs.inc()
    syncs.add(2)
    metrics.gauge("log_bytes", "Log size.").set(7, group="centro")
    latency = metrics.histogram("sync_ms", "Sync time.", (1, 5))
    for value in (0.5, 3, 9):
        latency.observe(value)
    lines = metrics.render().decode().splitlines()
    for line in (
        "# HELP sardinespool_syncs_total Synced batches.",
        "# TYPE sardinespool_syncs_total counter",
        f"sardinespool_syncs_total{{{LABELS}}} 3",
        f'sardinespool_log_bytes{{group="centro",{LABELS}}} 7',
        f'sardinespool_sync_ms_bucket{{le="1.0",{LABELS}}} 1.0',
        f'sardinespool_sync_ms_bucket{{le="5.0",{LABELS}}} 2.0',
        f'sardinespool_sync_ms_bucket{{le="+Inf",{LABELS}}} 3.0',
        f"sardinespool_sync_ms_count{{{LABELS}}} 3.0",
        f"sardinespool_sync_ms_sum{{{LABELS}}} 12.5",
    ):
        assert line in lines


def test_label_values_are_escaped() -> None:
    """Guards against a label value that makes the output unparsable."""
    metrics = Metrics("entry", "e")
    metrics.counter("requests", "Requests.").inc(service='a"\\\nb')
    assert b'service="a\\"\\\\\\nb"' in metrics.render()


def test_registries_are_separate() -> None:
    """Guards against two `Metrics` objects that share a registry."""
    first = Metrics("entry", "a")
    Metrics("entry", "b").counter("requests", "Requests.")
    first.counter("requests", "Requests.")
    with pytest.raises(ValueError, match="already registered"):
        first.counter("requests_total", "Requests.")
