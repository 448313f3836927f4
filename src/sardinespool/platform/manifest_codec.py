"""JSON decoding of manifests."""

from typing import Annotated

import msgspec

from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.decoding import decode
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.messages.manifest import WorkspaceSpec
from sardinespool.platform.caller_key import digest_of_key
from sardinespool.platform.integers import Count
from sardinespool.platform.integers import Integer
from sardinespool.workflows.manifest import check_size

_STRETCH_MAX = 1_000_000
"""Keeps the completion objectives of all jobs finite."""


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    # Worker pool that runs the queue's tasks.
    service: str
    timeout_ms: Count
    target_latency_ms: Count = 0
    priority: Integer = 0
    # Number of failed runs of a task at which its job fails.
    max_attempts: Count = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=_STRETCH_MAX)] = 1.0
    public_access: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: str
    spare: bool = False


class _UpperLimit(msgspec.Struct, frozen=True):
    # Thousandths of a core.
    cpu: Count = 0
    requested_memory_mb: Count = 0
    gpus: Count = 0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    weight: Count = 1
    upper_limit: _UpperLimit = _UpperLimit()


class _Manifest(msgspec.Struct, frozen=True):
    version: Integer
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    # A null is an error, as it would admit callers without a key.
    tenants: tuple[_Tenant, ...] | msgspec.UnsetType = msgspec.UNSET


_DECODER = msgspec.json.Decoder(_Manifest)


def decode_manifest(body: bytes) -> PublishManifest:
    """Decode a manifest; the result keeps the original bytes.

    Raises
    ------
    InvalidManifestError
        The body is not a valid manifest, a timeout is not above 0, or a key
        can't be carried by a request.
    """
    try:
        manifest = decode(_DECODER, body)
    except InvalidMessageError as error:
        raise InvalidManifestError(
            f"The manifest can't be read: {error}"
        ) from error
    for route in manifest.routes:
        if route.timeout_ms <= 0:
            raise InvalidManifestError(
                "A queue has no timeout.", queue=route.name
            )
    return PublishManifest(
        version=manifest.version,
        queues=tuple(_queue_spec(route) for route in manifest.routes),
        pools=tuple(
            PoolSpec(name=item.name, spare=item.spare)
            for item in manifest.services
        ),
        source=body,
        workspaces=_workspaces(manifest.tenants),
    )


def _workspaces(
    tenants: tuple[_Tenant, ...] | msgspec.UnsetType,
) -> tuple[WorkspaceSpec, ...] | None:
    if isinstance(tenants, msgspec.UnsetType):
        return None
    check_size(len(tenants), sum(len(tenant.api_keys) for tenant in tenants))
    return tuple(_workspace_spec(tenant) for tenant in tenants)


def _workspace_spec(tenant: _Tenant) -> WorkspaceSpec:
    # A key that is listed twice counts once.
    digests = {digest_of_key(key): None for key in tenant.api_keys}
    if None in digests:
        raise InvalidManifestError(
            "A key is empty, too long or not printable ASCII.",
            workspace=tenant.name,
        )
    return WorkspaceSpec(
        name=tenant.name,
        key_digests=tuple(digest for digest in digests if digest is not None),
        weight=tenant.weight,
        processors_millicores_max=tenant.upper_limit.cpu,
        memory_mb_max=tenant.upper_limit.requested_memory_mb,
        accelerators_max=tenant.upper_limit.gpus,
    )


def _queue_spec(route: _Route) -> QueueSpec:
    return QueueSpec(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        pool=route.service,
        priority=route.priority,
        failures_max=route.max_attempts,
        stretch=route.stretch,
        latency_objective_ms=route.target_latency_ms,
        public=route.public_access,
    )
