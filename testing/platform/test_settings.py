"""Settings file of the users' platform."""

import pathlib

import pytest

from sardinespool.errors.settings import SettingsError
from sardinespool.platform.settings import load_platform_settings

SETTINGS_YAML = """
node: "core-norte-1"
role: "core"
ip_address: "10.2.0.33"
zone: "norte"
listen:
  control: "10.2.0.33:8166"
internal_port_range: [7720, 7735]
seeds: ["10.1.0.16:8166", "10.2.0.33:8166"]
first_start: true
data_directory: "/data/core"
limits:
  memory_mb: 296
bounds:
  max_hold_ms: 3000
  status_s: 60
  fencing_required: true
something_new: [1]
"""


def test_fields_and_derived_addresses(tmp_path: pathlib.Path) -> None:
    """Guards against members that connect to wrong addresses."""
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS_YAML)
    settings = load_platform_settings(path)
    assert settings.internal_address == "10.2.0.33:7720"
    assert settings.peers == ("10.1.0.16:7720", "10.2.0.33:7720")
    assert settings.control_address_of("10.1.0.16:7720") == "10.1.0.16:8166"
    assert settings.failure_domain == "norte"
    assert settings.first_start


def test_dispatch_timing_respects_the_bounds(tmp_path: pathlib.Path) -> None:
    """Guards against a lease that exceeds the limit of the workers."""
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS_YAML)
    dispatch = load_platform_settings(path).dispatch
    assert dispatch.lease_ms == 2_000
    assert dispatch.finished_job_retention_ms == 90_000


@pytest.mark.parametrize(
    ("value", "factor"),
    [
        ("", 1.0),
        ("2.5", 2.5),
        ("3", 3.0),
        ("0.5", None),
        ("-2", None),
        ("101", None),
        (".nan", None),
        (".inf", None),
        ("true", None),
    ],
)
def test_remote_factor_is_read_and_checked(
    tmp_path: pathlib.Path, value: str, factor: float | None
) -> None:
    """Guards against waits without a gain and for a wrong factor."""
    path = tmp_path / "local.yaml"
    line = f"  remote_factor: {value}\n" if value else ""
    path.write_text(SETTINGS_YAML.replace("bounds:\n", f"bounds:\n{line}"))
    if factor is None:
        with pytest.raises(SettingsError, match="remote_factor"):
            load_platform_settings(path)
    else:
        dispatch = load_platform_settings(path).dispatch
        assert dispatch.remote_factor == factor


@pytest.mark.parametrize(
    ("added", "admission"),
    [
        ("", False),
        ("contracts: [sched]\n", False),
        ("contracts: [sched]\nadmission: true\n", True),
        ("contracts: [quota]\nadmission: true\n", False),
        ("contracts: 1\nadmission: true\n", False),
        ("admission: true\n", False),
    ],
)
def test_admission_is_off_unless_asked_for(
    tmp_path: pathlib.Path, added: str, admission: bool
) -> None:
    """Guards against refusals in deployments that have not asked for them."""
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS_YAML + added)
    assert load_platform_settings(path).dispatch.admission is admission


@pytest.mark.parametrize(
    ("heartbeat_ms", "contact_ms", "age_max_ms"),
    [
        (None, None, 3_500),
        (1_500, 3_000, 3_500),
        (1_500, 5_000, 5_500),
        (6_000, 3_000, 8_000),
    ],
)
def test_age_of_heartbeats_follows_their_interval(
    tmp_path: pathlib.Path,
    heartbeat_ms: int | None,
    contact_ms: int | None,
    age_max_ms: int,
) -> None:
    """Guards against workers with a long interval that get no starts."""
    text = SETTINGS_YAML
    if heartbeat_ms is not None:
        text += f"heartbeat_ms: {heartbeat_ms}\n"
        text = text.replace(
            "bounds:\n", f"bounds:\n  contact_ms: {contact_ms}\n"
        )
    path = tmp_path / "local.yaml"
    path.write_text(text)
    dispatch = load_platform_settings(path).dispatch
    assert dispatch.heartbeat_age_max_ms == age_max_ms


@pytest.mark.parametrize(
    "content",
    [
        "",
        "node: [",
        SETTINGS_YAML.replace('"core"', "7"),
        SETTINGS_YAML.replace("node:", "x:"),
    ],
    ids=["empty", "no-yaml", "wrong-type", "missing"],
)
def test_invalid_file_raises_settings_error(
    tmp_path: pathlib.Path, content: str
) -> None:
    """Guards against a process that starts with incomplete settings."""
    path = tmp_path / "local.yaml"
    path.write_text(content)
    with pytest.raises(SettingsError):
        load_platform_settings(path)


@pytest.mark.parametrize(
    ("limits", "budget_mb", "connections"),
    [
        pytest.param("{}", 1_024, None, id="no limits"),
        pytest.param(
            "{memory_mb: 200, file_descriptors: 4096, link_mbps: 2}",
            50,
            1_706,
            id="front",
        ),
        pytest.param(
            "{memory_mb: 424, file_descriptors: 4100}", 106, 3_618, id="core"
        ),
        pytest.param("{memory_mb: 48}", 20, 409, id="least budget"),
        pytest.param("{file_descriptors: 210}", 1_024, None, id="descriptors"),
        pytest.param(
            "{memory_mb: 200, receive_budget_mb: 30, connections: 100}",
            30,
            100,
            id="own limits",
        ),
    ],
)
def test_limits(
    tmp_path: pathlib.Path,
    limits: str,
    budget_mb: int,
    connections: int | None,
) -> None:
    """Guards against limits that the process reads differently."""
    path = tmp_path / "local.yaml"
    path.write_text(
        SETTINGS_YAML.replace("limits:\n  memory_mb: 296", f"limits: {limits}")
    )
    guard = load_platform_settings(path).limits.guard
    assert guard.receive_budget_bytes == budget_mb * 1_048_576
    assert guard.connections_max == connections


@pytest.mark.parametrize(
    ("limits", "segment_bytes"),
    [
        pytest.param("{}", 8_388_608, id="no limits"),
        pytest.param(
            "{memory_mb: 296, disk_mb: 128}", 8_388_608, id="usual core"
        ),
        pytest.param(
            "{memory_mb: 296, disk_mb: 32}", 2_097_152, id="small disk"
        ),
        pytest.param(
            "{memory_mb: 64, disk_mb: 128}", 2_097_152, id="little memory"
        ),
        pytest.param("{memory_mb: 300, disk_mb: 0}", 8_388_608, id="no disk"),
    ],
)
def test_size_of_log_segments(
    tmp_path: pathlib.Path, limits: str, segment_bytes: int
) -> None:
    """Guards against a log that outgrows a small disk or memory."""
    path = tmp_path / "local.yaml"
    path.write_text(
        SETTINGS_YAML.replace("limits:\n  memory_mb: 296", f"limits: {limits}")
    )
    replication = load_platform_settings(path).limits.replication
    assert replication.snapshot_every_bytes == segment_bytes


@pytest.mark.parametrize(
    "limits",
    [
        "memory_mb: 0",
        "file_descriptors: many",
        "receive_budget_mb: 19",
        "connections: 63",
        "request_timeout_ms: 19999",
        "minimum_bytes_per_s: 501",
        "rate_grace_ms: 2999",
        "drain_timeout_ms: 30001",
    ],
)
def test_invalid_limits(tmp_path: pathlib.Path, limits: str) -> None:
    """Guards against limits that ordinary clients would meet."""
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS_YAML.replace("memory_mb: 296", limits))
    with pytest.raises(SettingsError):
        load_platform_settings(path)
