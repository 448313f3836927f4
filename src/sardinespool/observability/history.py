"""History of one id, merged from the logs of several processes.

The wall clock of a machine may jump, but its boot clock does not. Lines of
one process are therefore ordered by the boot clock, which is converted to
wall-clock time with the median difference of both clocks since the boot.
"""

import collections
import dataclasses
import statistics
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

import msgspec

BOOT_CLOCK_FIELD = "boot_ms"
WALL_CLOCK_FIELD = "unix_ms"
HEADER_FIELDS = frozenset(
    (BOOT_CLOCK_FIELD, WALL_CLOCK_FIELD, "level", "process", "part", "event")
)
ORDER_TOLERANCE_MS = 1_000
"""Lines of two threads may be out of order by less than this; a boot clock
that goes back further shows that the machine was rebooted."""
LEADERSHIP_EVENTS = frozenset(
    (
        "serving",
        "no longer serving",
        "leadership changed",
        "dispatch begins",
        "result of an unknown planning command",
    )
)
CONTEXT_MS = 5_000
"""Time before the first line of an id in which changes of leaders and workers
can still affect it; leases expire and elections end within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log event.

    Attributes
    ----------
    time_unix_ms : int
        Wall-clock time, derived from the boot clock of the machine.
    process : str
        Name of the process that wrote the line.
    part : str
        Component of the program that logged the event.
    level : str
        Log level.
    event : str
        Text of the event.
    fields : mapping
        Ids and values of the event.
    is_context : bool
        Whether the line doesn't mention the id, but is about a worker,
        workspace or leader that it depended on.
    """

    time_unix_ms: int
    process: str
    part: str
    level: str
    event: str
    fields: Mapping[str, Any]
    is_context: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedLogs:
    """Lines ordered by time, and the number of unreadable lines."""

    lines: tuple[LogLine, ...]
    unreadable: int


def parse_logs(raw_lines: Iterable[str]) -> ParsedLogs:
    """Parse the log lines of any number of processes.

    Text before the first brace of a line is ignored: log collectors prepend
    times and names.
    """
    by_process: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    unreadable = 0
    for raw_line in raw_lines:
        start = raw_line.find("{")
        if start < 0:
            unreadable += bool(raw_line.strip())
            continue
        entry = _parse_entry(raw_line[start:])
        if entry is None:
            unreadable += 1
        else:
            by_process[str(entry.get("process", ""))].append(entry)
    lines = [
        line
        for entries in by_process.values()
        for boot_entries in _split_by_boot(entries)
        for line in _convert_times(boot_entries)
    ]
    lines.sort(key=lambda line: line.time_unix_ms)
    return ParsedLogs(tuple(lines), unreadable)


def select_history(identifier: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines that mention an id, and their context, by time.

    Parameters
    ----------
    identifier : str
        Id of a request, job, task, worker or process. The id of a job also
        selects the lines of its tasks.
    lines : iterable of LogLine
        Lines ordered by time.
    """
    all_lines = list(lines)
    mentioning_lines = [
        line for line in all_lines if _mentions(line, identifier)
    ]
    if not mentioning_lines:
        return []
    worker_ids = {
        str(line.fields["worker"])
        for line in mentioning_lines
        if "worker" in line.fields
    }
    workspaces = {
        str(line.fields["workspace"])
        for line in mentioning_lines
        if "workspace" in line.fields
    }
    first_ms = mentioning_lines[0].time_unix_ms - CONTEXT_MS
    last_ms = mentioning_lines[-1].time_unix_ms
    history = []
    for line in all_lines:
        if _mentions(line, identifier):
            history.append(line)
        elif first_ms <= line.time_unix_ms <= last_ms and (
            line.event in LEADERSHIP_EVENTS
            or (
                (
                    line.fields.get("worker") in worker_ids
                    or line.fields.get("workspace") in workspaces
                )
                and not _concerns_task(line)
            )
        ):
            history.append(dataclasses.replace(line, is_context=True))
    return history


def _parse_entry(raw_line: str) -> dict[str, Any] | None:
    try:
        entry = msgspec.json.decode(raw_line)
    except (msgspec.DecodeError, RecursionError):
        return None
    if not isinstance(entry, dict) or not isinstance(entry.get("event"), str):
        return None
    clock_values = (entry.get(BOOT_CLOCK_FIELD), entry.get(WALL_CLOCK_FIELD))
    return (
        entry
        if all(isinstance(clock_value, int) for clock_value in clock_values)
        else None
    )


def _split_by_boot(
    entries: list[dict[str, Any]],
) -> Iterator[list[dict[str, Any]]]:
    """Yield the entries of each boot of the machine."""
    boot_entries: list[dict[str, Any]] = []
    latest_ms = 0
    for entry in entries:
        boot_ms = entry[BOOT_CLOCK_FIELD]
        if boot_entries and boot_ms < latest_ms - ORDER_TOLERANCE_MS:
            yield boot_entries
            boot_entries = []
            latest_ms = 0
        boot_entries.append(entry)
        latest_ms = max(latest_ms, boot_ms)
    if boot_entries:
        yield boot_entries


def _convert_times(boot_entries: list[dict[str, Any]]) -> Iterator[LogLine]:
    offset_ms = int(
        statistics.median(
            entry[WALL_CLOCK_FIELD] - entry[BOOT_CLOCK_FIELD]
            for entry in boot_entries
        )
    )
    for entry in boot_entries:
        yield LogLine(
            time_unix_ms=entry[BOOT_CLOCK_FIELD] + offset_ms,
            process=str(entry.get("process", "")),
            part=str(entry.get("part", "")),
            level=str(entry.get("level", "")),
            event=entry["event"],
            fields={
                key: value
                for key, value in entry.items()
                if key not in HEADER_FIELDS
            },
        )


def _mentions(line: LogLine, identifier: str) -> bool:
    if line.process == identifier:
        return True
    return any(
        isinstance(value, str)
        and (
            value == identifier
            or value.startswith(f"{identifier}.")
            or value.endswith(f"/{identifier}")
        )
        for value in line.fields.values()
    )


def _concerns_task(line: LogLine) -> bool:
    return "task" in line.fields or "job" in line.fields
