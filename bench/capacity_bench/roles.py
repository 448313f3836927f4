"""State and load of each role, derived from the slopes."""

from collections.abc import Callable
from collections.abc import Mapping

from bench.capacity_bench.deployments import Deployment
from bench.capacity_bench.deployments import DEPLOYMENTS
from bench.capacity_bench.deployments import SECONDS_PER_DAY
from bench.capacity_bench.slopes import Slope

Slopes = Mapping[str, Slope]
Row = tuple[str, Callable[[Deployment], str]]

HTTP_HEADER_BYTES = 500
"""Estimate for the HTTP headers of a heartbeat and its reply."""
ENTRY_SYNCS_PER_SECOND = 4
PASSES_PER_SECOND = 2
TICKS_PER_SECOND = 10
DOMAIN_SYNCS_PER_SECOND = 1 / 0.3
ENTRIES_PER_SNAPSHOT = 2_000
MAX_RECORDS = 200_000
MAX_VERSIONS = 5_000
IDLE_MB = 38.0
"""Resident memory of an idle daemon, from docs/measurements.md."""


def heartbeat_bytes(costs: Slopes, tasks: float) -> float:
    """Return the HTTP bytes of a heartbeat and its reply."""
    return (
        costs["heartbeat, HTTP body"].at(tasks)
        + costs["heartbeat, HTTP reply"].at(tasks)
        + HTTP_HEADER_BYTES
    )


def leader_us(costs: Slopes, size: Deployment, starts: float) -> float:
    """Return the processor time per second of a domain group's leader."""
    workers = size.domain_workers
    heartbeats = costs["store process"].at(workers) + workers * (
        costs["heartbeat at the leader"].at(size.worker_tasks)
        - costs["heartbeat at the leader"].at(0)
    )
    syncs = (
        ENTRY_SYNCS_PER_SECOND
        * size.entries
        * costs["EntrySync unchanged, at the leader"].at(workers)
    )
    views = PASSES_PER_SECOND * costs["SchedulingView at the leader"].at(
        workers
    )
    ticks = TICKS_PER_SECOND * costs["tick of the leader, 10 a second"].at(
        workers
    )
    return heartbeats + syncs + views + ticks + starts * start_us(costs)


def start_us(costs: Slopes) -> float:
    """Return the leader's processor time for one start and its end."""
    return costs["leader of three with 200 heartbeats a second"].line[0]


def log_bytes(costs: Slopes, size: Deployment) -> float:
    """Return the log bytes of one task start and its end."""
    return costs["PlaceTasks in the log"].line[0] + 2 * costs[
        "heartbeat in the log"
    ].at(size.worker_tasks)


def open_jobs(size: Deployment) -> float:
    """Return the maximum number of open jobs: one per running task."""
    return size.tasks


def global_memory_bytes(costs: Slopes, size: Deployment) -> float:
    """Return the memory of the global group's state."""
    return (
        costs["memory, open jobs (global)"].at(open_jobs(size))
        + costs["memory, finished jobs (global)"].at(size.jobs_per_day)
        + costs["memory, versions"].at(MAX_VERSIONS)
    )


def global_snapshot_bytes(costs: Slopes, size: Deployment) -> float:
    """Return the bytes of the global group's snapshot."""
    return (
        costs["snapshot, open jobs (global)"].at(open_jobs(size))
        + costs["snapshot, finished jobs (global)"].at(size.jobs_per_day)
        + costs["snapshot, versions"].at(MAX_VERSIONS)
    )


def pause_ms(costs: Slopes, snapshot_us: float, size_bytes: float) -> float:
    """Return how long taking and writing a snapshot blocks a group."""
    write_us = costs["writing a snapshot, wall time"].at(size_bytes / 1e6)
    return (snapshot_us + write_us) / 1000


def domain_pause_ms(costs: Slopes, tasks: float, records: float) -> float:
    """Return how long a snapshot of a domain group blocks it."""
    return pause_ms(
        costs,
        costs["taking a snapshot, running tasks"].at(tasks)
        + costs["taking a snapshot, request records"].at(records),
        costs["snapshot, running tasks"].at(tasks)
        + costs["snapshot, request records"].at(records),
    )


def global_pause_ms(costs: Slopes, size: Deployment) -> float:
    """Return how long a snapshot of the global group blocks it."""
    return pause_ms(
        costs,
        costs["taking a snapshot, open jobs (global)"].at(open_jobs(size))
        + costs["taking a snapshot, finished jobs (global)"].at(
            size.jobs_per_day
        ),
        global_snapshot_bytes(costs, size),
    )


def pass_ms(costs: Slopes, size: Deployment) -> float:
    """Return the processor time of a scheduling pass with 140 starts."""
    workers = size.domain_workers
    return (
        costs["SchedulingView decoded"].at(workers)
        + costs["planning pass with 140 starts"].at(workers)
    ) / 1000


def global_entries_per_day(size: Deployment) -> float:
    """Return the maximum log entries of the global group per day."""
    return 2 * size.jobs_per_day + 2 * size.changes_per_day


def tables(costs: Slopes) -> list[str]:
    """Return a Markdown table for each role."""
    roles: dict[str, tuple[Row, ...]] = {
        "Worker host": _worker_rows(costs),
        "Entry": _entry_rows(costs),
        "Scheduler": _scheduler_rows(costs),
        "Store of a domain group, leader": _store_rows(costs),
        "Store of the global group, leader": _global_rows(costs),
        "Operator": _operator_rows(costs),
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


def _worker_rows(costs: Slopes) -> tuple[Row, ...]:
    return (
        ("tasks reported", lambda size: f"{size.worker_tasks:.1f}"),
        ("messages a second", lambda size: "1 and its reply"),
        (
            "bytes a second, with 500 for headers",
            lambda size: f"{heartbeat_bytes(costs, size.worker_tasks):.0f}",
        ),
        (
            "share of a core, message codec only",
            lambda size: _percent(
                costs["heartbeat codec, worker"].at(size.worker_tasks)
            ),
        ),
        ("memory and disk of this system", lambda size: "none: no process"),
    )


def _entry_rows(costs: Slopes) -> tuple[Row, ...]:
    def heartbeats(size: Deployment) -> float:
        return size.domain_workers / size.entries

    return (
        (
            "state: endpoint table and configuration",
            lambda size: _bytes(
                costs["EntryView whole"].at(size.domain_workers)
            ),
        ),
        ("heartbeats a second", lambda size: f"{heartbeats(size):.0f}"),
        (
            "bytes a second, heartbeats (both sides) and syncs",
            lambda size: _bytes(
                heartbeats(size)
                * (
                    heartbeat_bytes(costs, size.worker_tasks)
                    + costs["heartbeat, RPC both ways"].at(size.worker_tasks)
                )
                + ENTRY_SYNCS_PER_SECOND
                * costs["EntrySync unchanged, both ways"].at(
                    size.domain_workers
                )
            ),
        ),
        (
            "share of a core, heartbeats and idle",
            lambda size: _percent(
                costs["entry process"].at(heartbeats(size))
                + heartbeats(size)
                * size.worker_tasks
                * costs["heartbeat codec, entry"].line[0]
            ),
        ),
        ("disk", lambda size: "none"),
    )


def _scheduler_rows(costs: Slopes) -> tuple[Row, ...]:
    return (
        (
            "view of one pass",
            lambda size: _bytes(
                costs["SchedulingView, 11 tasks each"].at(size.domain_workers)
            ),
        ),
        (
            "bytes a second",
            lambda size: _bytes(
                PASSES_PER_SECOND
                * costs["SchedulingView, 11 tasks each"].at(
                    size.domain_workers
                )
            ),
        ),
        (
            "pass with 140 starts: decode and plan",
            lambda size: f"{pass_ms(costs, size):.0f} ms of 500",
        ),
        (
            "share of a core at most",
            lambda size: _percent(
                1000 * PASSES_PER_SECOND * pass_ms(costs, size)
            ),
        ),
        ("disk", lambda size: "none"),
    )


def _store_rows(costs: Slopes) -> tuple[Row, ...]:
    return (
        (
            "calls a second without requests",
            lambda size: f"{_domain_calls_per_second(size):.0f}",
        ),
        (
            "bytes a second of calls and replies",
            lambda size: _bytes(
                size.domain_workers
                * costs["heartbeat, RPC both ways"].at(size.worker_tasks)
                + ENTRY_SYNCS_PER_SECOND
                * size.entries
                * costs["EntrySync unchanged, both ways"].at(
                    size.domain_workers
                )
                + PASSES_PER_SECOND
                * costs["SchedulingView, 11 tasks each"].at(
                    size.domain_workers
                )
            ),
        ),
        (
            "log bytes a second at its share of the starts, each copy",
            lambda size: _bytes(size.domain_starts * log_bytes(costs, size)),
        ),
        (
            "share of a core, its share of the starts",
            lambda size: _percent(leader_us(costs, size, size.domain_starts)),
        ),
        (
            "share of a core, all starts in one domain",
            lambda size: _percent(
                leader_us(costs, size, size.starts_per_second)
            ),
        ),
        (
            "memory, running tasks only",
            lambda size: f"{_domain_mb(costs, size, 0):.0f} MB",
        ),
        (
            "memory with 200,000 request records",
            lambda size: f"{_domain_mb(costs, size, MAX_RECORDS):.0f} MB",
        ),
        (
            "pause for a snapshot, running tasks only",
            lambda size: (
                f"{domain_pause_ms(costs, size.domain_tasks, 0):.0f} ms"
            ),
        ),
        (
            "pause for a snapshot with 200,000 request records",
            lambda size: (
                f"{domain_pause_ms(costs, size.domain_tasks, MAX_RECORDS):.0f}"
                " ms"
            ),
        ),
        (
            "restoring running tasks",
            lambda size: _ms(
                costs["restoring a snapshot, running tasks"].at(
                    size.domain_tasks
                )
            ),
        ),
    )


def _domain_calls_per_second(size: Deployment) -> float:
    return (
        size.domain_workers
        + ENTRY_SYNCS_PER_SECOND * size.entries
        + 2 * PASSES_PER_SECOND
        + DOMAIN_SYNCS_PER_SECOND
    )


def _domain_mb(costs: Slopes, size: Deployment, records: float) -> float:
    state = costs["memory, running tasks"].at(size.domain_tasks)
    if records:
        state += costs["memory, request records"].at(records)
    return IDLE_MB + state / 1e6


def _global_rows(costs: Slopes) -> tuple[Row, ...]:
    return (
        (
            "state: open jobs, jobs ended in 24 h, versions",
            lambda size: (
                f"{open_jobs(size):.0f}, {size.jobs_per_day:.0f},"
                f" {MAX_VERSIONS}"
            ),
        ),
        (
            "calls a second",
            lambda size: f"{_global_calls_per_second(size):.1f}",
        ),
        (
            "memory",
            lambda size: (
                f"{IDLE_MB + global_memory_bytes(costs, size) / 1e6:.0f} MB"
            ),
        ),
        (
            "snapshot",
            lambda size: _bytes(global_snapshot_bytes(costs, size)),
        ),
        (
            "pause for a snapshot",
            lambda size: f"{global_pause_ms(costs, size):.0f} ms",
        ),
        (
            "snapshot bytes written a day",
            lambda size: _bytes(
                global_entries_per_day(size)
                / ENTRIES_PER_SNAPSHOT
                * global_snapshot_bytes(costs, size)
            ),
        ),
    )


def _operator_rows(costs: Slopes) -> tuple[Row, ...]:
    return (
        (
            "one status reply",
            lambda size: _bytes(costs["status reply"].at(size.domains)),
        ),
        (
            "configuration changes a day",
            lambda size: f"{size.changes_per_day:.0f}",
        ),
        ("state, memory and disk", lambda size: "none between commands"),
    )


def _global_calls_per_second(size: Deployment) -> float:
    return (
        size.domains * DOMAIN_SYNCS_PER_SECOND
        + global_entries_per_day(size) / SECONDS_PER_DAY
    )


def _ms(us: float) -> str:
    return f"{us / 1000:.0f} ms"


def _percent(us_per_second: float) -> str:
    return f"{us_per_second / 1e4:.2f}%"


def _bytes(value: float) -> str:
    for limit, unit in ((1e9, "GB"), (1e6, "MB"), (1e3, "KB")):
        if value >= limit:
            return f"{value / limit:.1f} {unit}"
    return f"{value:.0f} B"
