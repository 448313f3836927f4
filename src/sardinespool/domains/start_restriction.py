"""Service state of a failure domain and local restriction of starts."""

from typing import Any

from sardinespool.messages.base import Record
from sardinespool.messages.configuration import Configuration


class StartRestriction(Record, frozen=True, kw_only=True):
    """Restriction by which a local operator stops task starts.

    It ends when the failure domain is set in service by a configuration
    version above `version`, which was in force when it was imposed.
    """

    operator: str
    version: int
    restricted_unix_ms: int


def is_in_service(configuration: Configuration, failure_domain: str) -> bool:
    """Return whether the failure domain is in service in a configuration.

    A domain without a key is in service.
    """
    domain_value: Any = configuration.values.get(
        f"failure_domains/{failure_domain}"
    )
    if not isinstance(domain_value, dict):
        return True
    return bool(domain_value.get("state", "in-service") == "in-service")


def remaining_restriction(
    restriction: StartRestriction | None,
    configuration: Configuration,
    failure_domain: str,
) -> StartRestriction | None:
    """Return the restriction that remains under a configuration, if any."""
    if (
        restriction is not None
        and configuration.domain_versions.get(failure_domain, 0)
        > restriction.version
        and is_in_service(configuration, failure_domain)
    ):
        return None
    return restriction
