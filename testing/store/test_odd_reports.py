"""Reports of another writer among those of the workers."""

from typing import Any

import msgspec
import pytest

from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.worker_reports import ReportWorker
from testing.store.control_cluster import ControlCluster
from testing.store.control_cluster import make_description

LARGEST = 2**63 - 1
DAY_MS = 86_400_000


def report(
    sequence: int = 1, clock_ms: int = 1, **fields: Any
) -> ReportWorker:
    """Return a report of worker ``w`` with changed fields."""
    return ReportWorker(
        description=msgspec.structs.replace(
            make_description("w", 1), **fields
        ),
        sequence=sequence,
        clock_ms=clock_ms,
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"incarnation": LARGEST},
        {"incarnation": 2 * DAY_MS},
        {"sequence": LARGEST},
        {"clock_ms": LARGEST},
        {"processors_millicores": LARGEST},
        {"memory_mb": LARGEST},
        {"accelerators": LARGEST},
        {"worker_id": ""},
        {"worker_id": "w\x7f"},
        {"worker_id": "é"},
        {"worker_id": "w" * 1_000},
        {"pool": "\0"},
        {"pool": ""},
        {"failure_domain": ""},
        {"host": "h\n"},
        {"labels": ("",)},
        {"labels": ("a",) * 101},
        {"labels": ("a" * 1_000_000,)},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:-1"},
        {"address": "[fe80::1%\0]:80"},
        {"address": ""},
    ],
    ids=lambda fields: f"{fields}"[:40],
)
def test_odd_report_names_no_worker(fields: dict[str, Any]) -> None:
    """Guards against a report that stops the use of the real worker.

    A start time in the far future would make each later one outdated. The
    report may have been forwarded, so the leader itself checks it.
    """
    cluster = ControlCluster()
    assert cluster.call(report()) == Accepted()
    before = dict(cluster.leader.machine.workers)
    refused = cluster.begin_call(report(**{"sequence": 2} | fields))
    cluster.run(200)
    assert isinstance(refused.exception(), InvalidMessageError)
    assert cluster.leader.machine.workers == before
    drains = report(sequence=3, draining=True)
    assert cluster.call(drains) == Accepted()
    assert cluster.leader.machine.workers["w"].draining
