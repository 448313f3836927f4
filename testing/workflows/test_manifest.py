"""Manifest versions and queue resolution."""

import dataclasses
from typing import Any

import msgspec
import pytest

from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.tasks import QueueNotFoundError
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import UNREADABLE_KEY
from sardinespool.workflows.manifest import check_manifest
from sardinespool.workflows.manifest import LIMIT_MAX
from sardinespool.workflows.manifest import ManifestState


def queue(name: str, prefix: str, pool: str = "p") -> QueueSpec:
    return QueueSpec(
        name=name,
        host="h",
        prefix=prefix,
        pool=pool,
        priority=0,
        failures_max=1,
        stretch=1.0,
        latency_objective_ms=1,
    )


def manifest(version: int, *queues: QueueSpec) -> PublishManifest:
    return PublishManifest(
        version=version,
        queues=queues,
        pools=(PoolSpec(name="p"),),
        source=str(version).encode(),
    )


@dataclasses.dataclass
class InvalidCase:
    """Queues of an inconsistent manifest."""

    queues: tuple[QueueSpec, ...]


@pytest.mark.parametrize(
    "case",
    [
        InvalidCase((queue("a", "/x", pool="other"),)),
        InvalidCase((queue("a", "/x"), queue("b", "/x"))),
        InvalidCase((queue("a", "/x"), queue("a", "/y"))),
    ],
    ids=["unknown-pool", "same-address", "same-name"],
)
def test_inconsistent_manifest_is_rejected(case: InvalidCase) -> None:
    """Guards against applying an inconsistent manifest."""
    with pytest.raises(InvalidManifestError):
        check_manifest(manifest(1, *case.queues))


@pytest.mark.parametrize(
    "field",
    [
        {"weight": -1},
        {"processors_millicores_max": -1},
        {"memory_mb_max": -1},
        {"accelerators_max": LIMIT_MAX + 1},
        {"key_digests": (b"k",)},
        {"key_digests": (UNREADABLE_KEY,)},
        {"key_digests": (b"",)},
    ],
    ids=str,
)
def test_workspace_out_of_range_is_rejected(field: dict[str, Any]) -> None:
    """Guards against values that another member sends, unlike an operator.

    A digest of another length could equal the mark of an unreadable key.
    """
    workspaces = (WorkspaceSpec(name="w", **field),)
    with pytest.raises(InvalidManifestError):
        check_manifest(
            msgspec.structs.replace(manifest(1), workspaces=workspaces)
        )


@pytest.mark.parametrize("order", [(3, 7, 5), (7, 3, 5), (5, 3, 7), (7, 7, 3)])
def test_highest_version_is_in_force_in_any_order(
    order: tuple[int, ...],
) -> None:
    """Guards against an older version that replaces a newer one."""
    state = ManifestState()
    for version in order:
        state.put(manifest(version, queue("a", f"/{version}/")))
    assert state.version == 7
    assert state.current is not None
    assert state.current.source == b"7"
    assert state.resolve("h", "/7/job") == (queue("a", "/7/"), "job")
    with pytest.raises(QueueNotFoundError):
        state.resolve("h", "/3/job")


def test_changed_content_of_the_same_version_is_ignored() -> None:
    """Guards against a version whose content changes after publication."""
    state = ManifestState()
    assert state.put(manifest(4, queue("a", "/a/")))
    changed = msgspec.structs.replace(manifest(4), source=b"other")
    assert not state.put(changed)
    assert state.current is not None
    assert state.current.source == b"4"


def test_longest_prefix_selects_the_queue() -> None:
    """Guards against a job that is routed to a shorter prefix."""
    state = ManifestState()
    state.put(manifest(1, queue("a", "/a/"), queue("b", "/a/b/")))
    assert state.resolve("h", "/a/b/j")[0].name == "b"
    assert state.resolve("h", "/a/j")[0].name == "a"
    with pytest.raises(QueueNotFoundError):
        state.resolve("other", "/a/j")
