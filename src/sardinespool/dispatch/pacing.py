"""Pace of filling tasks beside serving ones."""

from sardinespool.clock import Instant
from sardinespool.dispatch.run_state import FULL_PACE
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.worker_state import WorkerState

SLOW_ABOVE = 0.9
"""Share of its target at which a serving task's tail slows what fills."""
FASTEN_BELOW = 0.7
"""Share of the target below which what fills may work faster again."""
SLOW_FACTOR = 0.5
FASTEN_STEP = 20
"""Percent points; ten seconds of load changes are climbed in five steps."""
SLOW_INTERVAL_MS = 700
"""The tail lags half a second behind, and a new pace takes 100 ms."""
FASTEN_INTERVAL_MS = 900
PACE_MIN = 5
"""Percent below which a run is halted."""


def adapt_pace(worker: WorkerState, now: Instant) -> bool:
    """Set the wanted pace of what fills; return whether it changed.

    Parameters
    ----------
    worker : WorkerState
        A worker whose runs were just listed.
    now : Instant
        Time of the list.
    """
    filling = []
    pressure = 0.0
    for run in worker.runs.values():
        step = run.step
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        target_ms = step.spec.tail_latency_target_ms
        if target_ms and run.load is not None:
            pressure = max(pressure, run.load / target_ms)
        elif step.spec.uses_leftover_processors:
            filling.append(run)
    if not filling:
        return False
    elapsed_ms = now.boot_ms - worker.pace_changed_boot_ms
    changed = False
    if pressure > SLOW_ABOVE and elapsed_ms >= SLOW_INTERVAL_MS:
        for run in filling:
            pace = int(run.pace_wanted * SLOW_FACTOR)
            changed |= _set_pace(worker, run, pace if pace > PACE_MIN else 0)
    elif pressure < FASTEN_BELOW and elapsed_ms >= FASTEN_INTERVAL_MS:
        for run in filling:
            pace = min(FULL_PACE, run.pace_wanted + FASTEN_STEP)
            changed |= _set_pace(worker, run, pace)
    if changed:
        worker.pace_changed_boot_ms = now.boot_ms
    return changed


def _set_pace(worker: WorkerState, run: RunState, pace: int) -> bool:
    if run.pace_wanted == pace:
        return False
    run.pace_wanted = pace
    if run.needs_order:
        worker.pending[run.key] = run
    return True
