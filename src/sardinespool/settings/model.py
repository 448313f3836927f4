"""Settings classes of all programs.

The YAML files have the structure and field names of these classes.
"""

from typing import Literal

import msgspec


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class; unknown keys in a file are errors."""


class TlsSettings(Settings, frozen=True, kw_only=True):
    """Certificate, key and authority files in PEM format."""

    certificate_file: str
    key_file: str
    authority_file: str


class StoreMember(Settings, frozen=True, kw_only=True):
    """Address of one store process, and the groups that it is a member of.

    `address` is the ``ip:port`` on which it serves other processes.
    """

    name: str
    failure_domain: str
    address: str
    groups: tuple[str, ...]


class EntryMember(Settings, frozen=True, kw_only=True):
    """HTTP address of one entry process."""

    name: str
    failure_domain: str
    address: str


class Credential(Settings, frozen=True, kw_only=True):
    """Name, roles and token of a caller, worker, operator or approver."""

    name: str
    roles: tuple[Literal["caller", "worker", "operator", "approver"], ...]
    token: str


class ClusterSettings(Settings, frozen=True, kw_only=True):
    """Settings that all processes of a deployment share."""

    failure_domains: tuple[str, ...]
    stores: tuple[StoreMember, ...]
    entries: tuple[EntryMember, ...]
    cluster_token: str
    credentials: tuple[Credential, ...]
    tls: TlsSettings | None = None


class ReplicationSettings(Settings, frozen=True, kw_only=True):
    """Timing of the replicated log, in milliseconds, and its sizes.

    A snapshot of the state is taken after `snapshot_every_entries` applied
    entries, or once a log segment has `snapshot_every_bytes` bytes.
    """

    heartbeat_interval_ms: int = 100
    lease_ms: int = 700
    election_timeout_min_ms: int = 900
    election_timeout_max_ms: int = 1500
    snapshot_every_entries: int = 2000
    snapshot_every_bytes: int = 8_388_608


class StoreSettings(Settings, frozen=True, kw_only=True):
    """Settings of ``sardinespool-store``.

    `http_address` is the ``ip:port`` that serves health, readiness, metrics
    and state dumps.
    """

    cluster: ClusterSettings
    name: str
    http_address: str
    data_folder: str
    bootstrap: bool = False
    reformed: bool = False
    replication: ReplicationSettings = ReplicationSettings()
    stop_timeout_ms: int = 30_000


class EntrySettings(Settings, frozen=True, kw_only=True):
    """Settings of ``sardinespool-entry``."""

    cluster: ClusterSettings
    name: str
    queue_length: int = 64
    body_limit_bytes: int = 1_048_576
    retry_share: float = 0.1
    default_timeout_ms: int = 2_000
    longest_timeout_ms: int = 20_000
    stop_timeout_ms: int = 30_000


class SchedulerSettings(Settings, frozen=True, kw_only=True):
    """Settings of ``sardinespool-scheduler``.

    `throttle_above` is the ratio of the request latency to that without
    interference above which batch tasks are throttled: lower values favour
    tail latency, higher ones batch throughput.
    """

    cluster: ClusterSettings
    name: str
    failure_domain: str
    http_address: str
    interval_ms: int = 500
    throttle_above: float = 1.5
    stop_timeout_ms: int = 30_000


class OperatorSettings(Settings, frozen=True, kw_only=True):
    """Settings of the command line: addresses of entries and a token."""

    entries: tuple[str, ...]
    token: str
    tls_authority_file: str = ""
