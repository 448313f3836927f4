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
