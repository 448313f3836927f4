"""Whether tasks may start in a failure domain."""

from typing import Any

from sardinespool.messages.base import Record
from sardinespool.messages.configuration import Configuration


class StartRestriction(Record, frozen=True, kw_only=True):
    """A stop of task starts by a local operator.

    It ends with a configuration version that sets the failure domain in
    service and is above `version`, the one in force at the restriction.
    """

    operator: str
    version: int
    restricted_unix_ms: int


def is_in_service(configuration: Configuration, failure_domain: str) -> bool:
    """Return whether a version has the failure domain in service.

    A missing key means in service.
    """
    value: Any = configuration.values.get(f"failure_domains/{failure_domain}")
    if not isinstance(value, dict):
        return True
    return bool(value.get("state", "in-service") == "in-service")


def after_version(
    restriction: StartRestriction | None,
    configuration: Configuration,
    failure_domain: str,
) -> StartRestriction | None:
    """Return the restriction that remains once a version is in force."""
    if (
        restriction is not None
        and configuration.domain_versions.get(failure_domain, 0)
        > restriction.version
        and is_in_service(configuration, failure_domain)
    ):
        return None
    return restriction
