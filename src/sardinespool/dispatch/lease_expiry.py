"""End of the runs of unresponsive workers whose lease has expired."""

from sardinespool.clock import Instant
from sardinespool.dispatch.crash_trials import Loss
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.run_control import RunControl
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.dispatch.worker_state import WorkerState


def expire_leases(
    fleet: Fleet, control: RunControl, settings: DispatchSettings, now: Instant
) -> None:
    """End the runs of unresponsive workers whose lease has expired.

    Parameters
    ----------
    fleet : Fleet
        Workers and their runs.
    control : RunControl
        Records the ends.
    settings : DispatchSettings
        Timing.
    now : Instant
        Current time.
    """
    for worker in list(fleet.workers.values()):
        if worker.answered or not worker.runs:
            continue
        if not _has_lease_expired(worker, settings, now):
            continue
        fleet.crashes.process_ended(
            worker, Loss.LEASE_EXPIRED, len(fleet.workers)
        )
        for run in list(worker.runs.values()):
            if run.committed:
                control.end_run(worker, run, "lost", Loss.LEASE_EXPIRED.value)


def _has_lease_expired(
    worker: WorkerState, settings: DispatchSettings, now: Instant
) -> bool:
    """Return whether a lease has run out.

    That is so only if it has even on the slowest clock that a worker may have.
    """
    if now.boot_ms < max(
        worker.unknown_lease_end_boot_ms, worker.other_lease_end_boot_ms
    ):
        return False
    return not worker.lease_end_ms or (
        worker.clock.lower_bound(now.boot_ms)
        >= worker.lease_end_ms + settings.lease_margin_ms
    )
