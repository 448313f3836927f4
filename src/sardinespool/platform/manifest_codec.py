"""JSON decoding of manifests."""

from typing import Annotated

import msgspec

from sardinespool.errors.configuration import InvalidManifestError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.messages.decoding import decode
from sardinespool.messages.manifest import PoolSpec
from sardinespool.messages.manifest import PublishManifest
from sardinespool.messages.manifest import QueueSpec
from sardinespool.platform.integers import Count
from sardinespool.platform.integers import Integer

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


class _Service(msgspec.Struct, frozen=True):
    name: str
    spare: bool = False


class _Manifest(msgspec.Struct, frozen=True):
    version: Integer
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]


_DECODER = msgspec.json.Decoder(_Manifest)


def decode_manifest(body: bytes) -> PublishManifest:
    """Decode a manifest; the result keeps the original bytes.

    Raises
    ------
    InvalidManifestError
        The body is not a valid manifest, or a timeout is not above 0.
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
    )
