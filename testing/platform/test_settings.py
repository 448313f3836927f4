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
