"""The platform's settings file."""

import pathlib
import typing

import msgspec
import yaml

from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.errors.settings import SettingsError
from sardinespool.settings.addresses import split_address

SETTINGS_VARIABLE = "SARDINESPOOL_BOOT"
"""Environment variable with the path of the settings file."""

LEASE_LIMIT_MS = 6_000
STATUS_S = 120
"""Longest lease and retention of ended jobs where the settings name none."""
CLOCK_JUMP_MS = 30_000
"""Added to the retention of jobs, which is judged by the time of day."""
STATUS_PORT = 9464
"""The port that ``deploy/system.toml`` names for metrics."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses that others call, as ``ip:port``; "" if not served."""

    callers: str = msgspec.field(name="front", default="")
    readiness: str = msgspec.field(name="ready", default="")
    control: str = ""


class PlatformSettings(msgspec.Struct, frozen=True):
    """Settings of one process; fields that are not listed are ignored.

    Attributes
    ----------
    internal_ports : tuple of int
        First and last port for the processes' own protocol; the same on all
        machines.
    seeds : tuple of str
        Control addresses of up to three core machines, possibly stale.
    first_start : bool
        Whether the whole system starts for the first time, with empty disks.
    bounds : dict
        What the platform checks, by its own names.
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
    bounds: dict[str, float | bool] = {}

    @property
    def internal_address(self) -> str:
        """Address for the other processes of the system."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def dispatch(self) -> DispatchSettings:
        """Timing of the dispatcher within the platform's bounds."""
        lease_limit_ms = int(self.bounds.get("max_hold_ms", LEASE_LIMIT_MS))
        status_s = int(self.bounds.get("status_s", STATUS_S))
        lease_ms = lease_limit_ms * 2 // 3
        return DispatchSettings(
            # Two thirds of the longest lease: a shorter one would not outlast
            # an election, a longer one delays the restart of lost tasks.
            lease_ms=lease_ms,
            hold_wait_ms=min(1_000, lease_ms // 4),
            finished_job_retention_ms=status_s * 1_000 + CLOCK_JUMP_MS,
        )

    @property
    def status_address(self) -> str:
        """Address of metrics, health and state dump."""
        return f"{self.ip}:{STATUS_PORT}"

    @property
    def peers(self) -> tuple[str, ...]:
        """Internal addresses of the machines in `seeds`."""
        return tuple(
            f"{split_address(seed)[0]}:{self.internal_ports[0]}"
            for seed in self.seeds
        )

    def control_address_of(self, internal_address: str) -> str:
        """Return the control address of a member; the ports are alike."""
        _, port = split_address(self.listen.control)
        return f"{split_address(internal_address)[0]}:{port}"


def load_platform_settings(path: pathlib.Path) -> PlatformSettings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        The file can't be read or lacks a field.
    """
    try:
        raw: typing.Any = yaml.load(path.read_bytes(), _LOADER)
        return msgspec.convert(raw, PlatformSettings)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise SettingsError(
            f"The platform's settings can't be used: {error}", file=str(path)
        ) from error


_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
