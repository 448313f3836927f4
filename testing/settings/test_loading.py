"""Tests of loading and validating settings files."""

import copy
import pathlib
from typing import Any

import pytest
import yaml

from sardinespool.errors.settings import SettingsError
from sardinespool.settings.loading import load_settings
from sardinespool.settings.model import ClusterSettings
from sardinespool.settings.model import EntrySettings
from sardinespool.settings.model import OperatorSettings
from sardinespool.settings.model import SchedulerSettings
from sardinespool.settings.model import Settings
from sardinespool.settings.model import StoreSettings

CLUSTER: dict[str, Any] = {
    "failure_domains": ["centro", "sur"],
    "stores": [
        {
            "name": "store-centro-1",
            "failure_domain": "centro",
            "address": "127.0.0.1:7001",
            "groups": ["global", "centro"],
        },
        {
            "name": "store-sur-1",
            "failure_domain": "sur",
            "address": "[::1]:7002",
            "groups": ["sur"],
        },
    ],
    "entries": [
        {
            "name": "entry-centro-1",
            "failure_domain": "centro",
            "address": "127.0.0.1:7011",
        }
    ],
    "cluster_token": "cluster-secret",
    "credentials": [
        {"name": "ana", "roles": ["operator"], "token": "ana-secret"},
        {"name": "luz", "roles": ["approver"], "token": "luz-secret"},
    ],
}
STORE: dict[str, Any] = {
    "cluster": CLUSTER,
    "name": "store-sur-1",
    "http_address": "127.0.0.1:7021",
    "data_folder": "data",
    "replication": {},
}
ENTRY: dict[str, Any] = {"cluster": CLUSTER, "name": "entry-centro-1"}
SCHEDULER: dict[str, Any] = {
    "cluster": CLUSTER,
    "name": "scheduler-1",
    "failure_domain": "sur",
    "http_address": "127.0.0.1:7031",
}
OPERATOR: dict[str, Any] = {"entries": ["127.0.0.1:7011"], "token": "x"}
VALID_SETTINGS: dict[type[Settings], dict[str, Any]] = {
    StoreSettings: STORE,
    EntrySettings: ENTRY,
    SchedulerSettings: SCHEDULER,
    OperatorSettings: OPERATOR,
    ClusterSettings: CLUSTER,
}
REMOVED = object()


def with_value(
    settings: dict[str, Any], path: str, value: Any
) -> dict[str, Any]:
    changed = copy.deepcopy(settings)
    target: Any = changed
    *parents, last = [
        int(name) if name.isdigit() else name for name in path.split(".")
    ]
    for name in parents:
        target = target[name]
    if value is REMOVED:
        del target[last]
    elif isinstance(target, list) and last == len(target):
        target.append(value)
    else:
        target[last] = value
    return changed


def write_yaml(
    folder: pathlib.Path, content: Any, name: str = "s.yaml"
) -> str:
    path = folder / name
    path.write_text(yaml.safe_dump(content))
    return str(path)


def load_problems(
    path: str, settings_type: type[Settings]
) -> list[dict[str, str]]:
    with pytest.raises(SettingsError) as caught:
        load_settings(path, settings_type)
    problems: list[dict[str, str]] = caught.value.details["problems"]
    for problem in problems:
        assert all(problem[part] for part in ("file", "found", "allowed"))
        assert problem["key"] in caught.value.text
    return problems


@pytest.mark.parametrize("settings_type", VALID_SETTINGS)
def test_valid_file_loads(
    settings_type: type[Settings], tmp_path: pathlib.Path
) -> None:
    """Guards against a check that rejects valid settings."""
    settings = load_settings(
        write_yaml(tmp_path, VALID_SETTINGS[settings_type]), settings_type
    )
    assert isinstance(settings, settings_type)
    if isinstance(settings, StoreSettings):
        assert settings.data_folder == str(tmp_path / "data")


@pytest.mark.parametrize(
    ("settings_type", "path", "value", "key"),
    [
        (StoreSettings, "bootstrapp", True, "bootstrapp"),
        (StoreSettings, "bootstrap", "yes", "bootstrap"),
        (StoreSettings, "stop_timeout_ms", True, "stop_timeout_ms"),
        (StoreSettings, "stop_timeout_ms", 0, "stop_timeout_ms"),
        (StoreSettings, "name", REMOVED, "name"),
        (StoreSettings, "name", "store-sur-9", "name"),
        (StoreSettings, "http_address", "localhost:80", "http_address"),
        (StoreSettings, "http_address", "127.0.0.1:0", "http_address"),
        (StoreSettings, "http_address", "127.0.0.1", "http_address"),
        (StoreSettings, "data_folder", "s.yaml/data", "data_folder"),
        (StoreSettings, "cluster", REMOVED, "cluster"),
        (StoreSettings, "cluster", [], "cluster"),
        (
            StoreSettings,
            "replication.lease_ms",
            1200,
            "replication.lease_ms",
        ),
        (
            StoreSettings,
            "replication.heartbeat_interval_ms",
            900,
            "replication.heartbeat_interval_ms",
        ),
        (
            StoreSettings,
            "replication.election_timeout_min_ms",
            2400,
            "replication.election_timeout_min_ms",
        ),
        (EntrySettings, "name", "store-sur-1", "name"),
        (EntrySettings, "longest_timeout_ms", 30_000, "longest_timeout_ms"),
        (EntrySettings, "default_timeout_ms", 20_001, "default_timeout_ms"),
        (EntrySettings, "retry_share", 1.5, "retry_share"),
        (SchedulerSettings, "failure_domain", "norte", "failure_domain"),
        (SchedulerSettings, "interval_ms", -1, "interval_ms"),
        (SchedulerSettings, "throttle_above", 1.0, "throttle_above"),
        (SchedulerSettings, "throttle_above", 4.0, "throttle_above"),
        (OperatorSettings, "entries", [], "entries"),
        (OperatorSettings, "entries.0", "127.0.0.1:x", "entries[0]"),
        (OperatorSettings, "token", "a\nb", "token"),
        (
            OperatorSettings,
            "tls_authority_file",
            "no.pem",
            "tls_authority_file",
        ),
        (ClusterSettings, "failure_domains", "centro", "failure_domains"),
        (ClusterSettings, "failure_domains.2", "centro", "failure_domains[2]"),
        (ClusterSettings, "failure_domains.2", "global", "failure_domains[2]"),
        (ClusterSettings, "stores.0.name", "a.b", "stores[0].name"),
        (ClusterSettings, "failure_domains.2", "norte", "stores"),
        (ClusterSettings, "stores.0.groups", ["centro"], "stores"),
        (ClusterSettings, "stores.1.groups.1", "este", "stores[1].groups[1]"),
        (
            ClusterSettings,
            "stores.1.groups.1",
            "centro",
            "stores[1].groups[1]",
        ),
        (ClusterSettings, "stores.1.groups.1", "sur", "stores[1].groups[1]"),
        (
            ClusterSettings,
            "stores.1.failure_domain",
            "este",
            "stores[1].failure_domain",
        ),
        (ClusterSettings, "stores.1.name", "store-centro-1", "stores[1].name"),
        (ClusterSettings, "stores.1.name", 4, "stores[1].name"),
        (
            ClusterSettings,
            "entries.0.address",
            "127.0.0.1:7001",
            "entries[0].address",
        ),
        (ClusterSettings, "entries", [], "entries"),
        (ClusterSettings, "cluster_token", "", "cluster_token"),
        (ClusterSettings, "credentials.1.name", "ana", "credentials[1].name"),
        (
            ClusterSettings,
            "credentials.1.token",
            "ana-secret",
            "credentials[1].token",
        ),
        (ClusterSettings, "credentials.1.roles", [], "credentials[1].roles"),
        (
            ClusterSettings,
            "credentials.1.roles.0",
            "boss",
            "credentials[1].roles[0]",
        ),
        (
            ClusterSettings,
            "tls",
            {
                "certificate_file": "no.pem",
                "key_file": "s.yaml",
                "authority_file": "s.yaml",
            },
            "tls.certificate_file",
        ),
    ],
)
def test_problem_names_its_key(
    settings_type: type[Settings],
    path: str,
    value: Any,
    key: str,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an invalid value that is accepted or misreported."""
    file = write_yaml(
        tmp_path, with_value(VALID_SETTINGS[settings_type], path, value)
    )
    problems = load_problems(file, settings_type)
    assert [problem["key"] for problem in problems] == [key]


def test_all_problems_are_reported_without_secrets(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against reporting only one problem, and against leaked tokens."""
    content = with_value(STORE, "cluster.credentials.1.token", "ana-secret")
    content = with_value(content, "cluster.cluster_token", 40_004)
    content = with_value(content, "name", "none")
    content = with_value(content, "extra", 1)
    file = write_yaml(tmp_path, content)
    problems = load_problems(file, StoreSettings)
    assert {problem["key"] for problem in problems} == {
        "extra",
        "name",
        "cluster.cluster_token",
        "cluster.credentials[1].token",
    }
    assert "ana-secret" not in str(problems)
    assert "40004" not in str(problems)


def test_problems_of_cluster_file_name_that_file(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against problems reported for the file that includes it."""
    entry = with_value(ENTRY, "cluster", REMOVED) | {"cluster_file": "c.yaml"}
    file = write_yaml(tmp_path, entry)
    assert [
        problem["file"] for problem in load_problems(file, EntrySettings)
    ] == [str(tmp_path / "c.yaml")]
    cluster_file = write_yaml(tmp_path, CLUSTER, "c.yaml")
    loaded = load_settings(file, EntrySettings)
    assert loaded.cluster == load_settings(cluster_file, ClusterSettings)
    write_yaml(
        tmp_path, with_value(CLUSTER, "entries.0.address", "x"), "c.yaml"
    )
    (problem,) = load_problems(file, EntrySettings)
    assert (problem["file"], problem["key"]) == (
        cluster_file,
        "entries[0].address",
    )
    file_with_both = write_yaml(tmp_path, entry | {"cluster": CLUSTER})
    assert "cluster_file" in {
        problem["key"]
        for problem in load_problems(file_with_both, EntrySettings)
    }


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("name: a\nname: b\n", "duplicate key 'name' in line 2"),
        ("name: [\n", "line 2"),
        ("1: a\n", "key 1 is not a string in line 1"),
        ("- a\n", "['a']"),
        ("!!python/object:os.system {}\n", "could not determine"),
        (None, "an unreadable file"),
    ],
)
def test_unreadable_file(
    text: str | None, found: str, tmp_path: pathlib.Path
) -> None:
    """Guards against silently dropped keys and untyped exceptions."""
    path = tmp_path / "s.yaml"
    if text is not None:
        path.write_text(text)
    (problem,) = load_problems(str(path), OperatorSettings)
    assert found in problem["found"]
