"""A worker recovers from one odd report of another writer.

The report is within the limits of what a worker can send, so the leader takes
it for one of the worker.
"""

from typing import Any

import msgspec
import pytest

from sardinespool.dispatch.orders import OtherWorker
from sardinespool.dispatch.orders import RenewLease
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.workflows import StepSpec
from testing.dispatch.fake_worker import FakeWorker
from testing.dispatch.simulation import HEARTBEAT_INTERVAL_MS
from testing.dispatch.simulation import Simulation

LATE_MS = DispatchSettings().late_order_ms


def report_odd(
    simulation: Simulation,
    sequence: int = 0,
    clock_ms: int = 1,
    **fields: Any,
) -> None:
    """Deliver a report that names worker w0 or its host."""
    worker = simulation.workers["w0"]
    simulation.request(
        ReportWorker(
            description=msgspec.structs.replace(
                worker.description(), **fields
            ),
            sequence=sequence,
            clock_ms=clock_ms,
        )
    )


def test_reports_count_again_after_one_with_a_large_sequence_number() -> None:
    """Guards against a worker whose draining is never noticed."""
    simulation = Simulation(1)
    simulation.run(1_500)
    report_odd(simulation, sequence=1_000_000)
    simulation.run(LATE_MS + 2 * HEARTBEAT_INTERVAL_MS)
    report_odd(simulation, sequence=100, draining=True)
    assert simulation.machine.workers["w0"].draining


def test_late_report_still_does_not_count() -> None:
    """Guards against an older description that replaces the newer one."""
    simulation = Simulation(1)
    simulation.run(LATE_MS + 2 * HEARTBEAT_INTERVAL_MS)
    report_odd(simulation, sequence=1, memory_mb=1)
    assert simulation.machine.workers["w0"].memory_mb == 8_000


@pytest.mark.parametrize("clock_ms", [0, 3_000, 10_000_000])
def test_clock_in_a_report_does_not_change_the_lease(clock_ms: int) -> None:
    """Guards against leases that are counted on a wrong clock.

    A run would be given up while the worker still has its lease, or long
    after the worker has lost it.
    """
    simulation = Simulation(1, workers=1)
    simulation.run(1_500)
    worker = simulation.dispatcher.fleet.workers["w0"]
    simulation.submit("j", StepSpec(count=1, long_running=True))
    simulation.run(500)
    now_boot_ms = simulation.now().boot_ms
    before_ms = worker.clock.estimate(now_boot_ms)
    report_odd(simulation, sequence=1_000_000, clock_ms=before_ms + clock_ms)
    assert worker.clock.estimate(now_boot_ms) == before_ms


def test_worker_counts_again_after_another_one_answered_for_it() -> None:
    """Guards against a worker that is never used again.

    A report with the address of another worker is a way there. Its own
    heartbeats go on.
    """
    simulation = Simulation(1)
    simulation.run(1_500)
    simulation.dispatcher.handle_renewal_result(
        "w0",
        simulation.workers["w0"].incarnation,
        RenewLease(simulation.term, 0, 0),
        OtherWorker(),
        simulation.now().boot_ms,
        simulation.now(),
    )
    assert "w0" not in simulation.dispatcher.fleet.workers
    simulation.run(2 * HEARTBEAT_INTERVAL_MS)
    worker = simulation.dispatcher.fleet.workers["w0"]
    assert worker.answered
    assert simulation.dispatcher.fleet.accepts_starts(worker, simulation.now())


def test_report_that_names_the_host_of_a_worker_ends_no_run() -> None:
    """Guards against a second run beside one that goes on.

    A report alone doesn't show that another worker runs on the host.
    """
    simulation = Simulation(1)
    for worker in simulation.workers.values():
        worker.run_time_ms = lambda task: 60_000
    simulation.run(1_500)
    simulation.submit("j", StepSpec(count=8, long_running=True))
    simulation.run(500)
    runs = dict(simulation.dispatcher.fleet.workers["w0"].runs)
    assert runs
    report_odd(simulation, worker_id="odd", incarnation=1_000)
    simulation.run(200)
    assert simulation.dispatcher.fleet.workers["w0"].runs == runs


def test_worker_that_answers_replaces_the_earlier_one_of_its_host() -> None:
    """Guards against tasks that stay with a worker whose host restarted."""
    simulation = Simulation(1, workers=1)
    simulation.run(1_500)
    earlier = simulation.workers["w0"]
    later = FakeWorker("w9", simulation.oracle, 9)
    later.incarnation = 1_000
    earlier.crash()
    simulation.workers["w9"] = later
    simulation.request(
        ReportWorker(
            description=msgspec.structs.replace(
                later.description(), host="w0"
            ),
            sequence=1,
            clock_ms=1,
        )
    )
    simulation.run(100)
    assert list(simulation.dispatcher.fleet.workers) == ["w9"]
