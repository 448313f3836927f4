"""Limits of what a worker can report about itself.

Reports are not authenticated: another program may send one under any id. A
report outside these limits can't be one of a worker.
"""

from sardinespool.clock import Instant
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.settings.addresses import split_address

CLOCK_DIFFERENCE_MAX_MS = 24 * 3_600_000
"""Largest difference of the wall clocks of two machines; the local time of any
time zone differs by less from another's."""
PROCESSORS_MAX_MILLICORES = 8_192 * 1_000
"""Linux supports at most 8,192 processors."""
MEMORY_MAX_MB = 2**32
"""Physical addresses on x86-64 have at most 52 bits."""
ACCELERATORS_MAX = 256 * 32
"""A PCI segment has 256 buses of 32 devices."""
NAME_LENGTH_MAX = 253
"""Length of the longest domain name; bounds the replicated record."""
LABELS_MAX = 100
"""Bounds the replicated record; workers have a few labels."""


def check_report(report: ReportWorker, now: Instant) -> None:
    """Raise `InvalidMessageError` if a report can't be one of a worker.

    Parameters
    ----------
    report : ReportWorker
        Received report, also one that another member forwarded.
    now : Instant
        Current time.
    """
    description = report.description
    # The start time also bounds the sequence number and the worker's clock:
    # a worker sends less than one report per millisecond, and no clock has
    # run since before 1970.
    time_max_ms = now.unix_ms + CLOCK_DIFFERENCE_MAX_MS
    limits = {
        "incarnation": (description.incarnation, time_max_ms),
        "sequence": (report.sequence, time_max_ms),
        "clock_ms": (report.clock_ms, time_max_ms),
        "processors_millicores": (
            description.processors_millicores,
            PROCESSORS_MAX_MILLICORES,
        ),
        "memory_mb": (description.memory_mb, MEMORY_MAX_MB),
        "accelerators": (description.accelerators, ACCELERATORS_MAX),
    }
    for field, (value, maximum) in limits.items():
        if value > maximum:
            raise InvalidMessageError(
                "A worker can't report a number this large.",
                worker=description.worker_id[:NAME_LENGTH_MAX],
                field=field,
            )
    names = (
        description.worker_id,
        description.pool,
        description.failure_domain,
        *description.labels,
    )
    if (
        not all(_is_name(name) for name in names)
        # The id is sent in an HTTP header.
        or not description.worker_id.isascii()
        or not (description.host == "" or _is_name(description.host))
        or len(description.labels) > LABELS_MAX
    ):
        raise InvalidMessageError(
            "A worker's names are empty, too long or not printable.",
            worker=description.worker_id[:NAME_LENGTH_MAX],
        )
    _check_address(description.address)


def _is_name(text: str) -> bool:
    return 0 < len(text) <= NAME_LENGTH_MAX and text.isprintable()


def _check_address(address: str) -> None:
    try:
        split_address(address)
    except ValueError as error:
        raise InvalidMessageError(
            f"A worker can't have this address: {error}"
        ) from error
    if "%" in address:
        # A zone of IPv6 names an interface of the worker's own machine.
        raise InvalidMessageError(
            "A worker can't have an address with a zone.", address=address
        )
