"""Messages about patches, approvals and configuration versions."""

from typing import Any
from typing import Literal

from sardinespool.messages.base import Message
from sardinespool.messages.base import Record


class Change(Record, frozen=True, kw_only=True):
    """Change of one configuration key."""

    op: Literal["set", "remove"]
    key: str
    value: Any = None


class SubmitPatch(Message, frozen=True, kw_only=True):
    """Submit changes to a base version; answered by `PatchReceipt`."""

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
    """List the pending patches; answered by `PatchList`."""


class PatchRecord(Record, frozen=True, kw_only=True):
    """A submitted patch with its current state."""

    receipt: PatchReceipt
    author: str
    changes: tuple[Change, ...]


class PatchList(Message, frozen=True, kw_only=True):
    """Pending patches, oldest first."""

    patches: tuple[PatchRecord, ...]


class ReadConfiguration(Message, frozen=True, kw_only=True):
    """Read the current version; answered by `Configuration`."""


class Configuration(Message, frozen=True, kw_only=True):
    """An approved version with all its values.

    `domain_versions` maps each failure domain to the version that last
    changed its key.
    """

    version: int = 0
    values: dict[str, Any] = {}
    domain_versions: dict[str, int] = {}


class ListVersions(Message, frozen=True, kw_only=True):
    """List versions above `after_version`; answered by `VersionList`."""

    after_version: int = 0
    limit: int = 100


class VersionRecord(Record, frozen=True, kw_only=True):
    """Author, approver and changes of a version."""

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
    """Configuration version that a process uses."""

    name: str
    program: str
    version: int
    reported_unix_ms: int


class ConfigurationStatus(Message, frozen=True, kw_only=True):
    """Read the version that is active in each failure domain.

    Answered by `ConfigurationStatusReply`.
    """


class DomainStatus(Record, frozen=True, kw_only=True):
    """Active version of a failure domain and of its processes."""

    failure_domain: str
    version: int
    reported_unix_ms: int
    in_service: bool
    processes: tuple[ProcessVersion, ...] = ()


class ConfigurationStatusReply(Message, frozen=True, kw_only=True):
    """Current version, and the active version of each failure domain."""

    version: int
    domains: tuple[DomainStatus, ...]
