"""Request policy of each service, read from the configuration."""

import dataclasses
from collections.abc import Mapping
from typing import Any

_SERVICE_KEY_PREFIX = "services/"


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Settings for the requests of one service.

    `retry_share` is None when the entry's default applies; `timeout_ms` is 0
    when the entry's default applies.
    """

    name: str
    latency_critical: bool = True
    timeout_ms: int = 0
    retry_share: float | None = None


def read_policies(values: Mapping[str, Any]) -> dict[str, ServicePolicy]:
    """Return the policies of a configuration by service name.

    The configuration was validated when its patch was submitted. A field of
    an unexpected type, as a newer version may have, falls back to its
    default, so that a single value can't stop an entry.
    """
    policies = {}
    for key, value in values.items():
        if not key.startswith(_SERVICE_KEY_PREFIX) or not isinstance(
            value, dict
        ):
            continue
        name = key.removeprefix(_SERVICE_KEY_PREFIX)
        timeout_ms = value.get("timeout_ms")
        share = value.get("retry_share")
        policies[name] = ServicePolicy(
            name=name,
            latency_critical=value.get("kind") != "batch",
            timeout_ms=timeout_ms if type(timeout_ms) is int else 0,
            retry_share=(
                float(share) if isinstance(share, int | float) else None
            ),
        )
    return policies
