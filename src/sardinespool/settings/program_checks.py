"""Validation of the settings of one program."""

import os
import pathlib
from typing import Any

from sardinespool.settings.cluster_checks import check_address
from sardinespool.settings.cluster_checks import check_readable
from sardinespool.settings.cluster_checks import check_token
from sardinespool.settings.cluster_checks import list_items
from sardinespool.settings.model import EntrySettings
from sardinespool.settings.model import OperatorSettings
from sardinespool.settings.model import SchedulerSettings
from sardinespool.settings.model import Settings
from sardinespool.settings.model import StoreSettings
from sardinespool.settings.problems import ProblemList

THROTTLE_ABOVE_MAX = 3.5
"""Keeps throttling below the ratio at which the placement policy evicts."""

_POSITIVE_KEYS = (
    "stop_timeout_ms",
    "queue_length",
    "body_limit_bytes",
    "default_timeout_ms",
    "longest_timeout_ms",
    "interval_ms",
    "replication.heartbeat_interval_ms",
    "replication.lease_ms",
    "replication.election_timeout_min_ms",
    "replication.election_timeout_max_ms",
    "replication.snapshot_every_entries",
    "replication.snapshot_every_bytes",
)


def check_program(
    settings_type: type[Settings],
    values: dict[str, Any],
    problems: ProblemList,
) -> None:
    """Validate the fields of a program's settings that have valid types."""
    for key in _POSITIVE_KEYS:
        number = _value_at(values, key)
        if number is not None and number <= 0:
            problems.add(key, number, "a number above 0")
    if "http_address" in values:
        check_address("http_address", values["http_address"], problems)
    if issubclass(settings_type, StoreSettings):
        _check_store(values, problems)
    elif issubclass(settings_type, EntrySettings):
        _check_entry(values, problems)
    elif issubclass(settings_type, SchedulerSettings):
        domains = _value_at(values, "cluster.failure_domains")
        domain = values.get("failure_domain")
        if domain and domains and domain not in domains:
            problems.add("failure_domain", domain, _one_of(domains))
        throttle_ratio = values.get("throttle_above")
        if (
            throttle_ratio is not None
            and not 1.0 < throttle_ratio <= THROTTLE_ABOVE_MAX
        ):
            problems.add(
                "throttle_above",
                throttle_ratio,
                f"a ratio above 1 and at most {THROTTLE_ABOVE_MAX}",
            )
    elif issubclass(settings_type, OperatorSettings):
        _check_operator(values, problems)


def _check_store(values: dict[str, Any], problems: ProblemList) -> None:
    _check_member_name(values, "stores", problems)
    _check_below(
        values,
        ("replication.heartbeat_interval_ms", "replication.lease_ms"),
        problems,
    )
    _check_below(
        values,
        ("replication.lease_ms", "replication.election_timeout_min_ms"),
        problems,
    )
    _check_below(
        values,
        (
            "replication.election_timeout_min_ms",
            "replication.election_timeout_max_ms",
        ),
        problems,
    )
    folder = values.get("data_folder")
    if folder is not None and not _is_writable(pathlib.Path(folder)):
        problems.add(
            "data_folder",
            folder,
            "a writable folder or one that can be created",
        )


def _check_entry(values: dict[str, Any], problems: ProblemList) -> None:
    _check_member_name(values, "entries", problems)
    _check_below(values, ("longest_timeout_ms", "stop_timeout_ms"), problems)
    default = values.get("default_timeout_ms")
    longest = values.get("longest_timeout_ms")
    if default is not None and longest is not None and default > longest:
        problems.add(
            "default_timeout_ms",
            default,
            f"at most longest_timeout_ms, {longest}",
        )
    share = values.get("retry_share")
    if share is not None and not 0 <= share <= 1:
        problems.add("retry_share", share, "a number from 0 to 1")


def _check_operator(values: dict[str, Any], problems: ProblemList) -> None:
    check_token("token", values.get("token"), problems)
    entries = values.get("entries")
    if entries == []:
        problems.add("entries", [], "at least one ip:port")
    for index, address in enumerate(entries or ()):
        check_address(f"entries[{index}]", address, problems)
    if values.get("tls_authority_file"):
        check_readable(
            "tls_authority_file", values["tls_authority_file"], problems
        )


def _check_member_name(
    values: dict[str, Any], section: str, problems: ProblemList
) -> None:
    cluster = values.get("cluster")
    name = values.get("name")
    if name is None or cluster is None or section not in cluster:
        return
    names = [member.get("name") for _, member in list_items(cluster, section)]
    if name not in names:
        problems.add(
            "name", name, f"a name of one of the {section} of the cluster"
        )


def _check_below(
    values: dict[str, Any], keys: tuple[str, str], problems: ProblemList
) -> None:
    lower = _value_at(values, keys[0])
    upper = _value_at(values, keys[1])
    if None not in (lower, upper) and lower >= upper:
        problems.add(keys[0], lower, f"a number below {keys[1]}, {upper}")


def _value_at(values: dict[str, Any], key: str) -> Any:
    value: Any = values
    for name in key.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _is_writable(folder: pathlib.Path) -> bool:
    """Return whether the folder or its nearest existing parent is writable."""
    nearest = folder
    while not nearest.exists() and nearest != nearest.parent:
        nearest = nearest.parent
    return nearest.is_dir() and os.access(nearest, os.W_OK | os.X_OK)


def _one_of(names: list[str]) -> str:
    return "one of " + ", ".join(str(name) for name in names)
