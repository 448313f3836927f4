"""The platform's names stay inside its folder."""

import pathlib
import re

import pytest

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "sardinespool"
NAMES = re.compile(
    r"X-Sardinespool-|/api/|ack_cursor|rejects_overload|"
    r"requested_memory_mb|heartbeat_address|cold_remaining_ms|"
    r"eligible_workers|path_prefix|task_spec|expires_ms|"
    r"anti_affinity|max_attempts|long_running=|SARDINESPOOL_BOOT"
)
FOLDERS = sorted(
    folder.name
    for folder in SOURCE.iterdir()
    if folder.is_dir() and folder.name not in ("platform", "__pycache__")
)


@pytest.mark.parametrize("folder", FOLDERS)
def test_names_of_the_wire_are_in_the_adapter_only(folder: str) -> None:
    """Guards against a product that knows one platform's names."""
    found = [
        f"{path.name}: {line.strip()}"
        for path in sorted((SOURCE / folder).rglob("*.py"))
        for line in path.read_text("utf-8").splitlines()
        if NAMES.search(line)
    ]
    assert found == []
