"""Wire names of the platform are used in its adapter only."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).parents[2] / "src" / "sardinespool"
WIRE_NAMES = re.compile(
    r"X-Sardinespool-|/api/|ack_cursor|rejects_overload|"
    r"requested_memory_mb|heartbeat_address|cold_remaining_ms|"
    r"eligible_workers|path_prefix|task_spec|expires_ms|"
    r"anti_affinity|max_attempts|tenant|api_key|public_access|upper_limit|"
    r"long_running=|SARDINESPOOL_BOOT"
)
OTHER_PACKAGES = sorted(
    package.name
    for package in PACKAGE.iterdir()
    if package.is_dir() and package.name not in ("platform", "__pycache__")
)


@pytest.mark.parametrize("package", OTHER_PACKAGES)
def test_wire_names_are_used_in_the_adapter_only(package: str) -> None:
    """Guards against platform names in the platform-independent code."""
    matches = [
        f"{path.name}: {line.strip()}"
        for path in sorted((PACKAGE / package).rglob("*.py"))
        for line in path.read_text("utf-8").splitlines()
        if WIRE_NAMES.search(line)
    ]
    assert matches == []
