"""What each role holds and does, worked out from the slopes."""

from collections.abc import Callable
from collections.abc import Mapping

from bench.capacity_bench.deployments import DAY_S
from bench.capacity_bench.deployments import Deployment
from bench.capacity_bench.deployments import DEPLOYMENTS
from bench.capacity_bench.slopes import Slope

Slopes = Mapping[str, Slope]
Row = tuple[str, Callable[[Deployment], str]]

HEADER_BYTES = 500
"""Allowance for the HTTP headers of a heartbeat and its reply."""
ENTRY_SYNCS_A_SECOND = 4
PASSES_A_SECOND = 2
TICKS_A_SECOND = 10
DOMAIN_SYNCS_A_SECOND = 1 / 0.3
SNAPSHOT_ENTRIES = 2_000
RECORDS_MAX = 200_000
VERSIONS_KEPT = 5_000
IDLE_MB = 38.0
"""Resident memory of an idle daemon, docs/measurements.md."""


def heartbeat_bytes(slopes: Slopes, tasks: float) -> float:
    """Return the bytes of one heartbeat on the worker's wire."""
    return (
        slopes["heartbeat, HTTP body"].at(tasks)
        + slopes["heartbeat, HTTP reply"].at(tasks)
        + HEADER_BYTES
    )


def leader_us(slopes: Slopes, size: Deployment, starts: float) -> float:
    """Return the processor time a second of a domain group's leader."""
    workers = size.domain_workers
    beats = slopes["store process"].at(workers) + workers * (
        slopes["heartbeat at the leader"].at(size.worker_tasks)
        - slopes["heartbeat at the leader"].at(0)
    )
    syncs = (
        ENTRY_SYNCS_A_SECOND
        * size.entries
        * slopes["EntrySync unchanged, at the leader"].at(workers)
    )
    views = PASSES_A_SECOND * slopes["SchedulingView at the leader"].at(
        workers
    )
    ticks = TICKS_A_SECOND * slopes["tick of the leader, 10 a second"].at(
        workers
    )
    return beats + syncs + views + ticks + starts * start_us(slopes)


def start_us(slopes: Slopes) -> float:
    """Return the processor time of one start and its end at the leader."""
    return slopes["leader of three with 200 heartbeats a second"].line[0]


def log_bytes(slopes: Slopes, size: Deployment) -> float:
    """Return the log bytes of one start and its end."""
    return slopes["PlaceTasks in the log"].line[0] + 2 * slopes[
        "heartbeat in the log"
    ].at(size.worker_tasks)


def open_jobs(size: Deployment) -> float:
    """Return the open jobs, at most one for each running task."""
    return size.tasks


def global_memory_bytes(slopes: Slopes, size: Deployment) -> float:
    """Return the memory of the global group's state."""
    return (
        slopes["memory, open jobs (global group)"].at(open_jobs(size))
        + slopes["memory, finished jobs (global group)"].at(size.jobs_a_day)
        + slopes["memory, versions"].at(VERSIONS_KEPT)
    )


def global_snapshot_bytes(slopes: Slopes, size: Deployment) -> float:
    """Return the bytes of the global group's snapshot."""
    return (
        slopes["snapshot, open jobs (global group)"].at(open_jobs(size))
        + slopes["snapshot, finished jobs (global group)"].at(size.jobs_a_day)
        + slopes["snapshot, versions"].at(VERSIONS_KEPT)
    )


def pause_ms(slopes: Slopes, taking_us: float, size_bytes: float) -> float:
    """Return how long a snapshot stops a group."""
    write_us = slopes["writing a snapshot, wall time"].at(size_bytes / 1e6)
    return (taking_us + write_us) / 1000


def domain_pause_ms(slopes: Slopes, tasks: float, records: float) -> float:
    """Return how long a snapshot of a domain group stops it."""
    return pause_ms(
        slopes,
        slopes["taking it, running tasks"].at(tasks)
        + slopes["taking it, request records"].at(records),
        slopes["snapshot, running tasks"].at(tasks)
        + slopes["snapshot, request records"].at(records),
    )


def global_pause_ms(slopes: Slopes, size: Deployment) -> float:
    """Return how long a snapshot of the global group stops it."""
    return pause_ms(
        slopes,
        slopes["taking it, open jobs (global group)"].at(open_jobs(size))
        + slopes["taking it, finished jobs (global group)"].at(
            size.jobs_a_day
        ),
        global_snapshot_bytes(slopes, size),
    )


def pass_ms(slopes: Slopes, size: Deployment) -> float:
    """Return the time of a scheduler's pass with 140 starts."""
    workers = size.domain_workers
    return (
        slopes["SchedulingView decoded"].at(workers)
        + slopes["planning pass with 140 starts"].at(workers)
    ) / 1000


def global_entries_a_day(size: Deployment) -> float:
    """Return the entries of the global group's log a day, at most."""
    return 2 * size.jobs_a_day + 2 * size.changes_a_day


def tables(slopes: Slopes) -> list[str]:
    """Return a Markdown table for each role."""
    roles: dict[str, tuple[Row, ...]] = {
        "Worker host": _worker(slopes),
        "Entry": _entry(slopes),
        "Scheduler": _scheduler(slopes),
        "Store of a domain group, leader": _store(slopes),
        "Store of the global group, leader": _global(slopes),
        "Operator": _operator(slopes),
    }
    lines: list[str] = []
    for role, rows in roles.items():
        names = " | ".join(size.name for size in DEPLOYMENTS)
        lines += ["", f"### {role}", "", f"| quantity | {names} |"]
        lines.append("|---" * (len(DEPLOYMENTS) + 1) + "|")
        for name, value in rows:
            cells = " | ".join(value(size) for size in DEPLOYMENTS)
            lines.append(f"| {name} | {cells} |")
    return lines


def _worker(s: Slopes) -> tuple[Row, ...]:
    return (
        ("tasks reported", lambda d: f"{d.worker_tasks:.1f}"),
        ("messages a second", lambda d: "1 and its reply"),
        (
            "bytes a second, with 500 for headers",
            lambda d: f"{heartbeat_bytes(s, d.worker_tasks):.0f}",
        ),
        (
            "share of a core, coding of messages only",
            lambda d: _share(
                s["heartbeat coded by the worker"].at(d.worker_tasks)
            ),
        ),
        ("memory and disk of this system", lambda d: "none: no process"),
    )


def _entry(s: Slopes) -> tuple[Row, ...]:
    def beats(d: Deployment) -> float:
        return d.domain_workers / d.entries

    return (
        (
            "state: endpoint table and configuration",
            lambda d: _size(s["EntryView whole"].at(d.domain_workers)),
        ),
        ("heartbeats a second", lambda d: f"{beats(d):.0f}"),
        (
            "bytes a second, heartbeats (both sides) and syncs",
            lambda d: _size(
                beats(d)
                * (
                    heartbeat_bytes(s, d.worker_tasks)
                    + s["heartbeat, RPC both ways"].at(d.worker_tasks)
                )
                + ENTRY_SYNCS_A_SECOND
                * s["EntrySync unchanged, both ways"].at(d.domain_workers)
            ),
        ),
        (
            "share of a core, heartbeats and idle",
            lambda d: _share(
                s["entry process"].at(beats(d))
                + beats(d)
                * d.worker_tasks
                * s["heartbeat coded by the entry"].line[0]
            ),
        ),
        ("disk", lambda d: "none"),
    )


def _scheduler(s: Slopes) -> tuple[Row, ...]:
    return (
        (
            "view of one pass",
            lambda d: _size(
                s["SchedulingView, 11 tasks a worker"].at(d.domain_workers)
            ),
        ),
        (
            "bytes a second",
            lambda d: _size(
                PASSES_A_SECOND
                * s["SchedulingView, 11 tasks a worker"].at(d.domain_workers)
            ),
        ),
        (
            "pass with 140 starts: decode and plan",
            lambda d: f"{pass_ms(s, d):.0f} ms of 500",
        ),
        (
            "share of a core at most",
            lambda d: _share(1000 * PASSES_A_SECOND * pass_ms(s, d)),
        ),
        ("disk", lambda d: "none"),
    )


def _store(s: Slopes) -> tuple[Row, ...]:
    return (
        (
            "calls a second without requests",
            lambda d: f"{_calls(d):.0f}",
        ),
        (
            "bytes a second of calls and replies",
            lambda d: _size(
                d.domain_workers
                * s["heartbeat, RPC both ways"].at(d.worker_tasks)
                + ENTRY_SYNCS_A_SECOND
                * d.entries
                * s["EntrySync unchanged, both ways"].at(d.domain_workers)
                + PASSES_A_SECOND
                * s["SchedulingView, 11 tasks a worker"].at(d.domain_workers)
            ),
        ),
        (
            "log bytes a second at its share of the starts, each copy",
            lambda d: _size(d.domain_starts * log_bytes(s, d)),
        ),
        (
            "share of a core, its share of the starts",
            lambda d: _share(leader_us(s, d, d.domain_starts)),
        ),
        (
            "share of a core, all starts in one domain",
            lambda d: _share(leader_us(s, d, d.starts_a_second)),
        ),
        (
            "memory, running tasks only",
            lambda d: f"{_domain_mb(s, d, 0):.0f} MB",
        ),
        (
            "memory with 200,000 request records",
            lambda d: f"{_domain_mb(s, d, RECORDS_MAX):.0f} MB",
        ),
        (
            "pause for a snapshot, running tasks only",
            lambda d: f"{domain_pause_ms(s, d.domain_tasks, 0):.0f} ms",
        ),
        (
            "pause for a snapshot with 200,000 request records",
            lambda d: (
                f"{domain_pause_ms(s, d.domain_tasks, RECORDS_MAX):.0f} ms"
            ),
        ),
        (
            "restoring running tasks",
            lambda d: _ms(s["restoring it, running tasks"].at(d.domain_tasks)),
        ),
    )


def _calls(size: Deployment) -> float:
    return (
        size.domain_workers
        + ENTRY_SYNCS_A_SECOND * size.entries
        + 2 * PASSES_A_SECOND
        + DOMAIN_SYNCS_A_SECOND
    )


def _domain_mb(s: Slopes, size: Deployment, records: float) -> float:
    state = s["memory, running tasks"].at(size.domain_tasks)
    if records:
        state += s["memory, request records"].at(records)
    return IDLE_MB + state / 1e6


def _global(s: Slopes) -> tuple[Row, ...]:
    return (
        (
            "state: open jobs, jobs ended in 24 h, versions",
            lambda d: (
                f"{open_jobs(d):.0f}, {d.jobs_a_day:.0f}, {VERSIONS_KEPT}"
            ),
        ),
        (
            "calls a second",
            lambda d: f"{_global_calls(d):.1f}",
        ),
        (
            "memory",
            lambda d: f"{IDLE_MB + global_memory_bytes(s, d) / 1e6:.0f} MB",
        ),
        ("snapshot", lambda d: _size(global_snapshot_bytes(s, d))),
        (
            "pause for a snapshot",
            lambda d: f"{global_pause_ms(s, d):.0f} ms",
        ),
        (
            "snapshot bytes written a day",
            lambda d: _size(
                global_entries_a_day(d)
                / SNAPSHOT_ENTRIES
                * global_snapshot_bytes(s, d)
            ),
        ),
    )


def _operator(s: Slopes) -> tuple[Row, ...]:
    return (
        (
            "one status reply",
            lambda d: _size(s["status reply"].at(d.domains)),
        ),
        (
            "configuration changes a day",
            lambda d: f"{d.changes_a_day:.0f}",
        ),
        ("state, memory and disk", lambda d: "none between commands"),
    )


def _global_calls(size: Deployment) -> float:
    return (
        size.domains * DOMAIN_SYNCS_A_SECOND
        + global_entries_a_day(size) / DAY_S
    )


def _ms(us: float) -> str:
    return f"{us / 1000:.0f} ms"


def _share(us_a_second: float) -> str:
    return f"{us_a_second / 1e4:.2f}%"


def _size(value: float) -> str:
    for limit, unit in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if value >= limit:
            return f"{value / limit:.1f} {unit}"
    return f"{value:.0f} B"
