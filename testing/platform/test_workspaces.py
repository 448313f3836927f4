"""Workspaces on the wire: manifests, and the keys of requests."""

import asyncio
import hashlib
import json
from typing import Any

import pytest

from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.tasks import OtherWorkspaceError
from sardinespool.errors.tasks import UnknownWorkspaceKeyError
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.messages.workflows import UNREADABLE_KEY
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.observability.metrics import Metrics
from sardinespool.platform.caller_handler import CallerHandler
from sardinespool.platform.caller_handler import CallerMetrics
from sardinespool.platform.manifest_codec import decode_manifest
from sardinespool.transport.http_messages import Headers
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import ReceivedRequest
from sardinespool.workflows.manifest import check_manifest
from sardinespool.workflows.manifest import KEYS_MAX
from sardinespool.workflows.manifest import ManifestState
from sardinespool.workflows.manifest import WORKSPACES_MAX
from testing.platform.test_handlers import FakeGroup
from testing.platform.test_handlers import JOB

KEY, OTHER_KEY = "gkcuyj8pjbvk9m68k7b2", "ex5wa5xwyhks8nbkxxmi"
TENANT: dict[str, Any] = {
    "name": "kaje80",
    "api_keys": [KEY, OTHER_KEY],
    "priority": 1,
    "weight": 7,
    "upper_limit": {"cpu": 3223749, "requested_memory_mb": 6034220, "gpus": 0},
}
ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/q/",
    "service": "s",
    "timeout_ms": 1,
}


def digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()


def encode_manifest(tenants: Any, **route: Any) -> bytes:
    body = {
        "version": 1,
        "routes": [ROUTE | route],
        "services": [{"name": "s"}],
    }
    if tenants is not None:
        body["tenants"] = tenants
    return json.dumps(body).encode()


def decode_checked(body: bytes) -> PublishManifest:
    """Decode a manifest and check it as the leader does."""
    manifest = decode_manifest(body)
    check_manifest(manifest)
    return manifest


def test_fields_of_a_workspace() -> None:
    """Guards against fields that are mixed up, and against a stored key."""
    body = encode_manifest([TENANT], public_access=True)
    manifest = decode_checked(body)
    assert manifest.workspaces == (
        WorkspaceSpec(
            name="kaje80",
            key_digests=(digest(KEY), digest(OTHER_KEY)),
            weight=7,
            processors_millicores_max=3223749,
            memory_mb_max=6034220,
            accelerators_max=0,
        ),
    )
    assert manifest.queues[0].public
    assert manifest.source == body


@pytest.mark.parametrize(
    ("tenants", "names"),
    [
        (None, None),
        ([], ()),
        ([{"name": "a"}], ("a",)),
        # Known by its key only, and listed twice in one workspace.
        ([{"name": "a", "api_keys": [KEY, KEY], "priority": None}], ("a",)),
        ([{"name": "a", "weight": 0, "unknown": [1]}], ("a",)),
    ],
)
def test_manifest_with_few_fields_is_valid(
    tenants: Any, names: tuple[str, ...] | None
) -> None:
    """Guards against a manifest of a deployment that is refused."""
    workspaces = decode_checked(encode_manifest(tenants)).workspaces
    if names is None:
        assert workspaces is None
    else:
        assert workspaces is not None
        assert tuple(workspace.name for workspace in workspaces) == names
        assert sum(len(item.key_digests) for item in workspaces) <= 1


@pytest.mark.parametrize(
    "tenants",
    [
        {"a": TENANT},
        "kaje80",
        [None],
        [[KEY]],
        [TENANT, TENANT],
        [TENANT, {"name": "b", "api_keys": [OTHER_KEY]}],
        [TENANT, {"name": "kaje80", "api_keys": ["x"]}],
        *(
            [TENANT | change]
            for change in (
                {"name": ""},
                {"name": "n" * 257},
                {"name": None},
                {"name": 5},
                {"api_keys": KEY},
                {"api_keys": [KEY, 5]},
                {"api_keys": [KEY, ""]},
                {"api_keys": [KEY, "k" * 257]},
                {"api_keys": [KEY, "two words"]},
                {"api_keys": [KEY, "line\nbreak"]},
                {"api_keys": [KEY, "clé"]},
                {"weight": -1},
                {"weight": 1_000_001},
                {"weight": 10**30},
                {"weight": 1.5},
                {"weight": "7"},
                {"weight": None},
                {"weight": True},
                {"upper_limit": None},
                {"upper_limit": 5},
                {"upper_limit": {"cpu": -1}},
                {"upper_limit": {"cpu": 10**15 + 1}},
                {"upper_limit": {"cpu": 10**30}},
                {"upper_limit": {"requested_memory_mb": -1}},
                {"upper_limit": {"requested_memory_mb": 10**16}},
                {"upper_limit": {"gpus": 0.5}},
                {"upper_limit": {"gpus": -(2**63)}},
                {"upper_limit": {"gpus": 2**62}},
            )
        ),
        [{"name": "a", "api_keys": ["k"] * (KEYS_MAX + 1)}],
        [{"name": f"w{n}"} for n in range(WORKSPACES_MAX + 1)],
    ],
    ids=lambda tenants: str(tenants)[-60:],
)
def test_invalid_workspaces_are_refused(tenants: Any) -> None:
    """Guards against an odd manifest that takes effect or tells a key."""
    with pytest.raises(InvalidManifestError) as caught:
        decode_checked(encode_manifest(tenants))
    assert caught.value.http_status == 400
    told = f"{caught.value.text} {caught.value.details}"
    assert KEY not in told and OTHER_KEY not in told


def test_null_does_not_admit_all() -> None:
    """Guards against a null that is taken for a manifest without keys."""
    body = encode_manifest([]).replace(b"[]}", b"null}")
    with pytest.raises(InvalidManifestError):
        decode_manifest(body)


def test_ten_thousand_keys_are_found() -> None:
    """Guards against a manifest of many keys that is refused or unusable."""
    tenants = [
        {"name": f"w{n}", "api_keys": [f"{KEY}{n}-{k}" for k in range(100)]}
        for n in range(100)
    ]
    state = ManifestState()
    state.put(decode_checked(encode_manifest(tenants)))
    assert state.workspace_of(digest(f"{KEY}99-99")) == "w99"
    assert state.workspace_of(digest(KEY)) is None


def call_with(
    group: FakeGroup, headers: Headers, method: str = "POST"
) -> HttpResponse:
    handler = CallerHandler(
        group.call, CallerMetrics(Metrics("front", "front-1"))
    )
    request = HttpRequest(method, "/q/j", (("Host", "h"), *headers), JOB)
    return asyncio.run(handler(ReceivedRequest(request)))


def authorization(*values: str) -> Headers:
    return tuple(("authorization", value) for value in values)


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ((), b""),
        (authorization(f"Bearer {KEY}"), digest(KEY)),
        (authorization(f"bearer   {KEY} "), digest(KEY)),
        (authorization(""), UNREADABLE_KEY),
        (authorization("Bearer"), UNREADABLE_KEY),
        (authorization("Bearer "), UNREADABLE_KEY),
        (authorization(f"Bearer {KEY} {KEY}"), UNREADABLE_KEY),
        (authorization(f"Bearer {KEY}, Bearer {KEY}"), UNREADABLE_KEY),
        (authorization(f"Basic {KEY}"), UNREADABLE_KEY),
        (authorization(f"Bearer {KEY}", f"Bearer {KEY}"), UNREADABLE_KEY),
        (authorization("Bearer " + "k" * 257), UNREADABLE_KEY),
        (authorization("Bearer " + " " * 30_000), UNREADABLE_KEY),
        (authorization("Bearer cl\xe9"), UNREADABLE_KEY),
        (authorization(f"Bearer {KEY}\n"), UNREADABLE_KEY),
    ],
    ids=lambda value: str(value)[-40:],
)
def test_key_is_sent_as_its_digest(
    method: str, headers: Headers, expected: bytes
) -> None:
    """Guards against a header that is taken for another key, or for none."""
    group = FakeGroup(WorkflowStatus(job_id="j", state="running"))
    assert call_with(group, headers, method).status == 200
    assert [request.key_digest for request, _ in group.calls] == [expected]


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (UnknownWorkspaceKeyError("x"), 401),
        (OtherWorkspaceError("x", job="j"), 403),
    ],
)
def test_refusals_have_a_status(error: Any, status: int) -> None:
    """Guards against a refusal that callers take for another one."""
    response = call_with(FakeGroup(error), authorization(f"Bearer {KEY}"))
    assert response.status == status
    assert json.loads(response.body)["error"] == error.code
    scheme = response.header("WWW-Authenticate")
    assert scheme == ("Bearer" if status == 401 else None)
    assert response.header("Retry-After") is None
