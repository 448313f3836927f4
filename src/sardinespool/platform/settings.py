"""Settings file of the users' platform."""

import pathlib
import typing
from typing import Annotated

import msgspec
import yaml

from sardinespool.dispatch.fleet import REPORT_DELAY_MS
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors.settings import SettingsError
from sardinespool.settings.addresses import split_address
from sardinespool.settings.model import ReplicationSettings
from sardinespool.transport.guard_settings import GuardSettings
from sardinespool.transport.request_deadlines import RequestDeadlines

SETTINGS_VARIABLE = "SARDINESPOOL_BOOT"
"""Environment variable with the path of the settings file."""

DEFAULT_LEASE_LIMIT_MS = 6_000
DEFAULT_JOB_RETENTION_S = 120
"""Retention of ended jobs if the settings have no ``status_s``."""
DEFAULT_GRACE_S = 6
"""Time from SIGTERM to SIGKILL if the settings have no ``grace_s``."""
DEFAULT_CONTACT_MS = 3_000
"""Contact time if the settings have no ``contact_ms``."""
REMOTE_FACTOR_MAX = 100
"""The platform states 1.5 to 3; more than this is taken for a mistake."""
CLOCK_JUMP_MARGIN_MS = 30_000
"""Added to the retention of ended jobs, as the wall clock may jump ahead."""
STATUS_PORT = 9464
"""The metrics port in ``deploy/system.toml``."""


BUDGET_SHARE = 0.25
"""Share of the memory for received data; buffers that are freed leave gaps,
and a process at rest takes 38 MiB."""
CONNECTION_SHARE = 0.4
"""Share of the memory for connections, whose buffers are seldom full."""
CONNECTION_BYTES = 49_152
"""What a connection may hold beside the budget: its objects (6.5 KiB), bytes
read ahead, and 32 KiB in the kernel."""
RECEIVE_BUDGET_MB_MIN = 20
"""A manifest of 4 MiB in progress takes 12 MiB of the 15 MiB that are not
reserved for the internal links."""
CONNECTIONS_MIN = 64
JOB_MEMORY_SHARE = 1 / 4
"""Share of the memory for stored jobs."""
SNAPSHOT_MEMORY_SHARE = 1 / 16
"""Share for them in each of up to four snapshots in memory."""
JOB_DISK_SHARE = 1 / 4
"""Share of the disk for them in each of two snapshots, beside the log."""
LOG_MEMORY_SHARE = 1 / 32
"""Two log segments and uncommitted entries may be in memory at a time."""
LOG_DISK_SHARE = 1 / 16
"""Two log segments with their uncommitted entries leave half of a disk of 128
MB for two snapshots."""
RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""


class Listen(msgspec.Struct, frozen=True):
    """Listen addresses as ``ip:port``; "" disables the server."""

    callers: str = msgspec.field(name="front", default="")
    readiness: str = msgspec.field(name="ready", default="")
    control: str = ""


Count = Annotated[int, msgspec.Meta(ge=1)]
_DEADLINES = RequestDeadlines()
# No client within the platform's limits may meet one of these: a body of 4 MiB
# takes 17 s at 2 Mbit/s, and 500 callers may share that.
_RequestTimeout = Annotated[int, msgspec.Meta(ge=20_000)]
_MinimumRate = Annotated[int, msgspec.Meta(ge=1, le=500)]
_RateGrace = Annotated[int, msgspec.Meta(ge=3_000)]
_DrainTimeout = Annotated[int, msgspec.Meta(ge=100, le=30_000)]


class Limits(msgspec.Struct, frozen=True):
    """What a process may use of its machine.

    Attributes
    ----------
    memory_mb, file_descriptors : int or None
        Limits of the process; None if there is none.
    disk_mb : float or None
        Size of the disk that holds the data folder; None if it is unknown.
    receive_budget_mb : int or None
        Data held for requests and answers; None for a quarter of the memory.
    connections : int or None
        Accepted connections; None for what descriptors and memory allow.
    request_timeout_ms, minimum_bytes_per_s, rate_grace_ms : int
        See `RequestDeadlines`.
    drain_timeout_ms : int
        See `RequestDeadlines`.
    """

    memory_mb: Annotated[float, msgspec.Meta(ge=1)] | None = None
    file_descriptors: Count | None = None
    disk_mb: Annotated[float, msgspec.Meta(ge=0)] | None = None
    receive_budget_mb: (
        Annotated[int, msgspec.Meta(ge=RECEIVE_BUDGET_MB_MIN)] | None
    ) = None
    connections: Annotated[int, msgspec.Meta(ge=CONNECTIONS_MIN)] | None = None
    request_timeout_ms: _RequestTimeout = _DEADLINES.request_timeout_ms
    minimum_bytes_per_s: _MinimumRate = _DEADLINES.minimum_bytes_per_s
    rate_grace_ms: _RateGrace = _DEADLINES.rate_grace_ms
    drain_timeout_ms: _DrainTimeout = _DEADLINES.drain_timeout_ms

    @property
    def guard(self) -> GuardSettings:
        """Limits of the listeners of the process."""
        budget_bytes = GuardSettings().receive_budget_bytes
        bounds = [] if self.connections is None else [self.connections]
        if self.memory_mb is not None:
            memory_bytes = int(self.memory_mb * 1_048_576)
            budget_bytes = max(
                RECEIVE_BUDGET_MB_MIN * 1_048_576,
                int(BUDGET_SHARE * memory_bytes),
            )
            bounds.append(
                int(CONNECTION_SHARE * memory_bytes / CONNECTION_BYTES)
            )
        if self.receive_budget_mb is not None:
            budget_bytes = self.receive_budget_mb * 1_048_576
        return GuardSettings(
            receive_budget_bytes=budget_bytes,
            connections_max=(
                max(CONNECTIONS_MIN, min(bounds)) if bounds else None
            ),
            file_descriptors=self.file_descriptors,
            reserved_descriptors=RESERVED_DESCRIPTORS,
            deadlines=RequestDeadlines(
                request_timeout_ms=self.request_timeout_ms,
                rate_grace_ms=self.rate_grace_ms,
                minimum_bytes_per_s=self.minimum_bytes_per_s,
                drain_timeout_ms=self.drain_timeout_ms,
            ),
        )

    @property
    def replication(self) -> ReplicationSettings:
        """Sizes of the replicated log; see docs/CAPACITY.md for the sum."""
        settings = ReplicationSettings()
        snapshot_every_bytes = settings.snapshot_every_bytes
        if self.memory_mb:
            snapshot_every_bytes = min(
                snapshot_every_bytes,
                int(LOG_MEMORY_SHARE * self.memory_mb * 1_048_576),
            )
        if self.disk_mb:
            snapshot_every_bytes = min(
                snapshot_every_bytes,
                int(LOG_DISK_SHARE * self.disk_mb * 1_048_576),
            )
        return msgspec.structs.replace(
            settings, snapshot_every_bytes=snapshot_every_bytes
        )

    @property
    def job_limits(self) -> dict[str, int]:
        """Limits of the stored jobs, by the names of `DispatchSettings`."""
        defaults = DispatchSettings()
        memory_limit_bytes = defaults.job_memory_limit_bytes
        file_limit_bytes = defaults.job_file_limit_bytes
        if self.memory_mb:
            memory_bytes = int(self.memory_mb * 1_048_576)
            memory_limit_bytes = int(JOB_MEMORY_SHARE * memory_bytes)
            file_limit_bytes = int(SNAPSHOT_MEMORY_SHARE * memory_bytes)
        if self.disk_mb:
            file_limit_bytes = min(
                file_limit_bytes,
                int(JOB_DISK_SHARE * self.disk_mb * 1_048_576),
            )
        return {
            "job_memory_limit_bytes": memory_limit_bytes,
            "job_file_limit_bytes": file_limit_bytes,
        }


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of one process; unknown fields of the file are ignored.

    Attributes
    ----------
    internal_ports : tuple of int
        First and last port of the internal protocol; the same on all
        machines.
    seeds : tuple of str
        Control addresses of up to three core machines; may be out of date.
    first_start : bool
        Whether the cluster starts for the first time, with empty disks.
    heartbeat_interval_ms : int
        Interval of the workers' heartbeats.
    bounds : dict
        Limits that the platform enforces, by the platform's names.
    limits : Limits
        What the process may use of its machine.
    contracts : Any
        Names of the promises that the platform checks, if it lists any.
    admission : bool
        Whether jobs that would end too late are refused. It takes effect only
        where `contracts` holds "sched".
    """

    node: str
    role: str
    ip: str = msgspec.field(name="ip_address")
    failure_domain: str = msgspec.field(name="zone")
    listen: Listen
    internal_ports: tuple[int, int] = msgspec.field(name="internal_port_range")
    seeds: tuple[str, ...]
    first_start: bool = False
    data_folder: str | None = msgspec.field(
        name="data_directory", default=None
    )
    heartbeat_interval_ms: int = msgspec.field(
        name="heartbeat_ms", default=1_500
    )
    bounds: dict[str, float | bool] = {}
    limits: Limits = Limits()
    contracts: typing.Any = ()
    admission: bool = False

    @property
    def internal_address(self) -> str:
        """Address of the internal protocol."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def dispatch(self) -> DispatchSettings:
        """Dispatcher timing within the platform's limits."""
        lease_limit_ms = int(
            self.bounds.get("max_hold_ms", DEFAULT_LEASE_LIMIT_MS)
        )
        job_retention_s = int(
            self.bounds.get("status_s", DEFAULT_JOB_RETENTION_S)
        )
        contact_ms = int(self.bounds.get("contact_ms", DEFAULT_CONTACT_MS))
        lease_ms = lease_limit_ms * 2 // 3
        return DispatchSettings(
            # Two thirds of the longest lease: a shorter lease would expire
            # during an election, a longer one would delay restarts of lost
            # tasks.
            lease_ms=lease_ms,
            lease_limit_ms=lease_limit_ms,
            renewal_wait_ms=min(1_000, lease_ms // 4),
            heartbeat_age_max_ms=contact_ms
            + self.heartbeat_interval_ms
            - REPORT_DELAY_MS,
            remote_factor=self.bounds.get("remote_factor", 1.0),
            finished_job_retention_ms=job_retention_s * 1_000
            + CLOCK_JUMP_MARGIN_MS,
            admission=self.admission
            and isinstance(self.contracts, list)
            and "sched" in self.contracts,
            **self.limits.job_limits,
        )

    @property
    def shutdown_timeout_ms(self) -> int:
        """Time from SIGTERM until the last calls of callers have to end.

        The last sixth of the grace is left for their responses, also on a
        slow machine.
        """
        grace_s = self.bounds.get("grace_s", DEFAULT_GRACE_S)
        return int(grace_s * 1_000 * 5 / 6)

    @property
    def status_address(self) -> str:
        """Address of the metrics, health and state dump endpoints."""
        return f"{self.ip}:{STATUS_PORT}"

    @property
    def peers(self) -> tuple[str, ...]:
        """Internal addresses of the machines in `seeds`."""
        return tuple(
            f"{split_address(seed)[0]}:{self.internal_ports[0]}"
            for seed in self.seeds
        )

    def control_address_of(self, internal_address: str) -> str:
        """Return a member's control address; all members use the same port."""
        _, port = split_address(self.listen.control)
        return f"{split_address(internal_address)[0]}:{port}"


def load_platform_settings(path: pathlib.Path) -> PlatformSettings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        The file can't be read or is invalid.
    """
    try:
        document: typing.Any = yaml.load(path.read_bytes(), _YAML_LOADER)
        settings = msgspec.convert(document, PlatformSettings)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise SettingsError(
            f"Platform settings can't be loaded: {error}", file=str(path)
        ) from error
    factor = settings.bounds.get("remote_factor", 1.0)
    if isinstance(factor, bool) or not 1.0 <= factor <= REMOTE_FACTOR_MAX:
        raise SettingsError(
            "remote_factor must be a number from 1, which lets no task wait"
            f" for its rack, to {REMOTE_FACTOR_MAX}.",
            file=str(path),
            remote_factor=factor,
        )
    return settings


_YAML_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
