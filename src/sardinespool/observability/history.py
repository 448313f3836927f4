"""What the logs of several processes say of one id.

The time of day of a machine may jump, and its boot clock may not. Lines of
one process are therefore ordered by its boot clock, which is mapped to the
time of day by the median difference of the two over a run of the machine.
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
"""Lines of two threads may be queued out of order by less; a boot clock that
falls by more belongs to a machine that was started again."""
LEADERSHIP_EVENTS = frozenset(
    ("serving", "no longer serving", "leadership changed")
)
CONTEXT_MS = 5_000
"""Time before the first line of an id in which a change of leader or of its
workers can still explain its fate; leases and elections end within it."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One event.

    Attributes
    ----------
    time_unix_ms : int
        Time of day as the boot clock of the machine gives it.
    is_context : bool
        Whether the line names not the id but a worker or leader that it
        depended on.
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
    """Lines in the order of time, and how many could not be read."""

    lines: tuple[LogLine, ...]
    unreadable: int


def parse_logs(texts: Iterable[str]) -> ParsedLogs:
    """Read the lines of any number of processes.

    Text before the first brace of a line is left out: collectors put times
    and names there.
    """
    by_process: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
    unreadable = 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            unreadable += bool(text.strip())
            continue
        entry = _decode(text[start:])
        if entry is None:
            unreadable += 1
        else:
            by_process[str(entry.get("process", ""))].append(entry)
    lines = [
        line
        for entries in by_process.values()
        for segment in _segments(entries)
        for line in _timed(segment)
    ]
    lines.sort(key=lambda line: line.time_unix_ms)
    return ParsedLogs(tuple(lines), unreadable)


def history_of(identifier: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return what names an id, with what it depended on, in order of time.

    Parameters
    ----------
    identifier : str
        Id of a request, job, task, worker or process. The id of a job also
        selects its tasks.
    lines : iterable of LogLine
        In order of time.
    """
    every = list(lines)
    named = [line for line in every if _names(line, identifier)]
    if not named:
        return []
    workers = {
        str(line.fields["worker"]) for line in named if "worker" in line.fields
    }
    first_ms = named[0].time_unix_ms - CONTEXT_MS
    last_ms = named[-1].time_unix_ms
    history = []
    for line in every:
        if _names(line, identifier):
            history.append(line)
        elif first_ms <= line.time_unix_ms <= last_ms and (
            line.event in LEADERSHIP_EVENTS
            or (line.fields.get("worker") in workers and not _has_task(line))
        ):
            history.append(dataclasses.replace(line, is_context=True))
    return history


def _decode(text: str) -> dict[str, Any] | None:
    try:
        entry = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return None
    if not isinstance(entry, dict) or not isinstance(entry.get("event"), str):
        return None
    clocks = (entry.get(BOOT_CLOCK_FIELD), entry.get(WALL_CLOCK_FIELD))
    return entry if all(isinstance(item, int) for item in clocks) else None


def _segments(
    entries: list[dict[str, Any]],
) -> Iterator[list[dict[str, Any]]]:
    """Yield the lines of each run of the machine."""
    segment: list[dict[str, Any]] = []
    latest_ms = 0
    for entry in entries:
        boot_ms = entry[BOOT_CLOCK_FIELD]
        if segment and boot_ms < latest_ms - ORDER_TOLERANCE_MS:
            yield segment
            segment = []
            latest_ms = 0
        segment.append(entry)
        latest_ms = max(latest_ms, boot_ms)
    if segment:
        yield segment


def _timed(segment: list[dict[str, Any]]) -> Iterator[LogLine]:
    offset_ms = int(
        statistics.median(
            entry[WALL_CLOCK_FIELD] - entry[BOOT_CLOCK_FIELD]
            for entry in segment
        )
    )
    for entry in segment:
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


def _names(line: LogLine, identifier: str) -> bool:
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


def _has_task(line: LogLine) -> bool:
    return "task" in line.fields or "job" in line.fields
