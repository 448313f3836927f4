"""Messages of patches, approvals and configuration versions."""

from typing import Any
from typing import Literal

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class Change(Record, frozen=True, kw_only=True):
    """One change of one configuration key."""

    op: Literal["set", "remove"]
    key: str
    value: Any = None


class SubmitPatch(Message, frozen=True, kw_only=True):
    """Submit changes against a version; answered by `PatchReceipt`."""

    patch_id: str
    base_version: int
    changes: tuple[Change, ...]
    author: str


class ApprovePatch(Message, frozen=True, kw_only=True):
    """Approve a patch by its digest; answered by `PatchReceipt`."""

    patch_id: str
    digest: str
    approver: str


class RejectPatch(Message, frozen=True, kw_only=True):
    """Reject a pending patch; answered by `PatchReceipt`."""

    patch_id: str
    rejecter: str


class PatchReceipt(Message, frozen=True, kw_only=True):
    """State of a patch; `version` is 0 until it is approved."""

    patch_id: str
    digest: str
    state: Literal["pending", "approved", "rejected", "void"]
    base_version: int
    version: int = 0


class ListPatches(Message, frozen=True, kw_only=True):
    """Ask for the pending patches; answered by `PatchList`."""


class PatchRecord(Record, frozen=True, kw_only=True):
    """A patch as it was submitted, with its present state."""

    receipt: PatchReceipt
    author: str
    changes: tuple[Change, ...]


class PatchList(Message, frozen=True, kw_only=True):
    """Pending patches, oldest first."""

    patches: tuple[PatchRecord, ...]


class ReadConfiguration(Message, frozen=True, kw_only=True):
    """Ask for the current version; answered by `Configuration`."""


class Configuration(Message, frozen=True, kw_only=True):
    """One approved version with all its values.

    `domain_versions` names the version that last changed each failure
    domain's key.
    """

    version: int = 0
    values: dict[str, Any] = {}
    domain_versions: dict[str, int] = {}


class ListVersions(Message, frozen=True, kw_only=True):
    """Ask for versions above `after_version`; answered by `VersionList`."""

    after_version: int = 0
    limit: int = 100


class VersionRecord(Record, frozen=True, kw_only=True):
    """Who made a version, who approved it, and what it changed."""

    version: int
    patch_id: str
    digest: str
    author: str
    approver: str
    changes: tuple[Change, ...]
    approved_unix_ms: int


class VersionList(Message, frozen=True, kw_only=True):
    """Versions in ascending order."""

    versions: tuple[VersionRecord, ...]


class ProcessVersion(Record, frozen=True, kw_only=True):
    """Configuration version that one process follows."""

    name: str
    program: str
    version: int
    reported_unix_ms: int


class ConfigurationStatus(Message, frozen=True, kw_only=True):
    """Ask which version each failure domain has in force.

    Answered by `ConfigurationStatusReply`.
    """


class DomainStatus(Record, frozen=True, kw_only=True):
    """Version in force in one failure domain and at its processes."""

    failure_domain: str
    version: int
    reported_unix_ms: int
    in_service: bool
    processes: tuple[ProcessVersion, ...] = ()


class ConfigurationStatusReply(Message, frozen=True, kw_only=True):
    """Current version and the one in force in each failure domain."""

    version: int
    domains: tuple[DomainStatus, ...]
