"""Checked values of the configuration's sections."""

from typing import Literal

import msgspec

from sardinespool.errors.configuration import InvalidChangeError
from sardinespool.messages.configuration import Change


class Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of the values of one section."""


class ServiceSection(Section, frozen=True, kw_only=True):
    """Value of ``services/<name>``."""

    kind: Literal["latency-critical", "batch"] = "latency-critical"
    timeout_ms: int = 2_000
    retry_share: float = 0.1


class TeamSection(Section, frozen=True, kw_only=True):
    """Value of ``teams/<name>``: quota of running tasks."""

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


SECTIONS: dict[str, type] = {
    "services": ServiceSection,
    "teams": TeamSection,
    "failure_domains": FailureDomainSection,
    "standing_approvals": StandingApprovalSection,
    "limits": int,
}

NAME_LENGTH_MAX = 120


def check_change(change: Change) -> None:
    """Check the key and the value of a change.

    Raises
    ------
    InvalidChangeError
        The section is unknown, the name is empty, too long or has a slash,
        or the value does not have the section's form.
    """
    section, _, name = change.key.partition("/")
    if section not in SECTIONS:
        raise InvalidChangeError(
            f"Section {section!r} is unknown.",
            key=change.key,
            allowed=sorted(SECTIONS),
        )
    if not name or "/" in name or len(name) > NAME_LENGTH_MAX:
        raise InvalidChangeError(
            "The key must be <section>/<name>.", key=change.key
        )
    if change.op == "remove":
        return
    try:
        msgspec.convert(change.value, SECTIONS[section])
    except msgspec.ValidationError as error:
        raise InvalidChangeError(str(error), key=change.key) from error
