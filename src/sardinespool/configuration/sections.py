"""Value types of the configuration sections, and their validation."""

from typing import Literal

import msgspec

from sardinespool.errors.configuration import InvalidChangeError
from sardinespool.messages.configuration import Change


class Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of a section's values; unknown fields are rejected."""


class ServiceSection(Section, frozen=True, kw_only=True):
    """Value of ``services/<name>``."""

    kind: Literal["latency-critical", "batch"] = "latency-critical"
    timeout_ms: int = 2_000
    retry_share: float = 0.1


class TeamSection(Section, frozen=True, kw_only=True):
    """Value of ``teams/<name>``: quota of a team's running tasks."""

    processors_millicores: int
    memory_mb: int
    accelerators: int = 0
    running_tasks: int = 1_000_000


class FailureDomainSection(Section, frozen=True, kw_only=True):
    """Value of ``failure_domains/<name>``."""

    state: Literal["in-service", "out-of-service"]


class StandingApprovalSection(Section, frozen=True, kw_only=True):
    """Value of ``standing_approvals/<name>``."""

    operators: tuple[str, ...]
    failure_domains: tuple[str, ...]


SECTION_TYPES: dict[str, type] = {
    "services": ServiceSection,
    "teams": TeamSection,
    "failure_domains": FailureDomainSection,
    "standing_approvals": StandingApprovalSection,
    "limits": int,
}

NAME_LENGTH_MAX = 120


def check_change(change: Change) -> None:
    """Validate the key and the value of a change.

    Raises
    ------
    InvalidChangeError
        The section is unknown, the name is empty, too long or contains a
        slash, or the value does not match the section's type.
    """
    section, _, name = change.key.partition("/")
    if section not in SECTION_TYPES:
        raise InvalidChangeError(
            f"Section {section!r} is unknown.",
            key=change.key,
            allowed=sorted(SECTION_TYPES),
        )
    if not name or "/" in name or len(name) > NAME_LENGTH_MAX:
        raise InvalidChangeError(
            "The key must be <section>/<name>.", key=change.key
        )
    if change.op == "remove":
        return
    try:
        msgspec.convert(change.value, SECTION_TYPES[section])
    except msgspec.ValidationError as error:
        raise InvalidChangeError(str(error), key=change.key) from error
