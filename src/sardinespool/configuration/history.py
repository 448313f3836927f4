"""Configuration versions, pending patches and approvals."""

from typing import Any

import msgspec

from sardinespool.configuration.digest import patch_digest
from sardinespool.configuration.sections import check_change
from sardinespool.errors.configuration import DigestMismatchError
from sardinespool.errors.configuration import InvalidChangeError
from sardinespool.errors.configuration import PatchClosedError
from sardinespool.errors.configuration import PatchIdReusedError
from sardinespool.errors.configuration import PatchNotFoundError
from sardinespool.errors.configuration import SelfApprovalError
from sardinespool.errors.configuration import VersionConflictError
from sardinespool.messages.base import Record
from sardinespool.messages.configuration import ApprovePatch
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import PatchReceipt
from sardinespool.messages.configuration import PatchRecord
from sardinespool.messages.configuration import RejectPatch
from sardinespool.messages.configuration import SubmitPatch
from sardinespool.messages.configuration import VersionRecord

VERSIONS_KEPT = 5_000
CLOSED_PATCHES_KEPT = 5_000
PENDING_PATCHES_MAX = 1_000
PATCH_CHANGES_MAX = 500


class HistoryState(Record, frozen=True, kw_only=True):
    """Snapshot of a `History`."""

    configuration: Configuration
    versions: tuple[VersionRecord, ...]
    patches: tuple[PatchRecord, ...]


class History:
    """Configuration versions and patches; deterministic and without I/O.

    Attributes
    ----------
    configuration : Configuration
        The current version.
    versions : dict of int to VersionRecord
        The last `VERSIONS_KEPT` versions.
    patches : dict of str to PatchRecord
        Patches by id in submission order; at least the last
        `CLOSED_PATCHES_KEPT` closed ones are kept to answer resubmitted
        patches and approvals.
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.versions: dict[int, VersionRecord] = {}
        self.patches: dict[str, PatchRecord] = {}
        self._pending: dict[str, None] = {}

    def submit(self, request: SubmitPatch, unix_ms: int) -> PatchReceipt:
        """Record a patch; approve it if a standing approval covers it.

        Raises
        ------
        PatchIdReusedError, InvalidChangeError, VersionConflictError
            The patch is refused.
        """
        digest = patch_digest(request.base_version, request.changes)
        existing = self.patches.get(request.patch_id)
        if existing is not None:
            return self._resubmitted_receipt(existing, request, digest)
        if (
            not request.patch_id
            or not 0 < len(request.changes) <= PATCH_CHANGES_MAX
        ):
            raise InvalidChangeError(
                f"A patch has an id and 1 to {PATCH_CHANGES_MAX} changes."
            )
        for change in request.changes:
            check_change(change)
        self._check_base_version(request.base_version)
        if len(self._pending) >= PENDING_PATCHES_MAX:
            raise InvalidChangeError(
                "Too many patches are pending.", allowed=PENDING_PATCHES_MAX
            )
        receipt = PatchReceipt(
            patch_id=request.patch_id,
            digest=digest,
            state="pending",
            base_version=request.base_version,
        )
        record = PatchRecord(
            receipt=receipt, author=request.author, changes=request.changes
        )
        self.patches[request.patch_id] = record
        self._pending[request.patch_id] = None
        self._remove_old_patches()
        approval_key = self._find_standing_approval(
            request.author, request.changes
        )
        if approval_key:
            return self._apply_patch(record, approval_key, unix_ms)
        return receipt

    def approve(self, request: ApprovePatch, unix_ms: int) -> PatchReceipt:
        """Approve a patch and create the next version.

        Raises
        ------
        PatchNotFoundError, DigestMismatchError, SelfApprovalError,
        PatchClosedError, VersionConflictError
            The approval is refused.
        """
        record = self._find_patch(request.patch_id)
        receipt = record.receipt
        if request.digest != receipt.digest:
            raise DigestMismatchError(
                "The approval names another digest than the patch has.",
                digest=receipt.digest,
            )
        if request.approver == record.author:
            raise SelfApprovalError("The approver is the patch's author.")
        if receipt.state == "approved":
            return receipt
        if receipt.state == "rejected":
            raise PatchClosedError("The patch was rejected.")
        self._check_base_version(receipt.base_version)
        return self._apply_patch(record, request.approver, unix_ms)

    def reject(self, request: RejectPatch) -> PatchReceipt:
        """Close a pending patch.

        Raises
        ------
        PatchNotFoundError, PatchClosedError
            The patch does not exist or is already approved.
        """
        record = self._find_patch(request.patch_id)
        if record.receipt.state == "approved":
            raise PatchClosedError(
                "The patch was approved.", version=record.receipt.version
            )
        return self._close_patch(record, "rejected")

    def pending(self) -> tuple[PatchRecord, ...]:
        """Return the pending patches, oldest first."""
        return tuple(self.patches[patch_id] for patch_id in self._pending)

    def state(self) -> HistoryState:
        """Return the state for a snapshot."""
        return HistoryState(
            configuration=self.configuration,
            versions=tuple(self.versions.values()),
            patches=tuple(self.patches.values()),
        )

    def restore(self, state: HistoryState) -> None:
        """Replace the state with that of a snapshot."""
        self.configuration = state.configuration
        self.versions = {record.version: record for record in state.versions}
        self.patches = {
            record.receipt.patch_id: record for record in state.patches
        }
        self._pending = {
            patch_id: None
            for patch_id, record in self.patches.items()
            if record.receipt.state == "pending"
        }

    def _resubmitted_receipt(
        self, existing: PatchRecord, request: SubmitPatch, digest: str
    ) -> PatchReceipt:
        if (
            existing.receipt.digest != digest
            or existing.author != request.author
        ):
            raise PatchIdReusedError(
                "The patch id was used for another patch.",
                digest=existing.receipt.digest,
            )
        return existing.receipt

    def _find_patch(self, patch_id: str) -> PatchRecord:
        record = self.patches.get(patch_id)
        if record is None:
            raise PatchNotFoundError("No patch has this id.")
        return record

    def _check_base_version(self, base_version: int) -> None:
        if base_version != self.configuration.version:
            raise VersionConflictError(
                "The patch's base is not the current version.",
                base_version=base_version,
                current_version=self.configuration.version,
            )

    def _find_standing_approval(
        self, author: str, changes: tuple[Change, ...]
    ) -> str:
        names = set()
        for change in changes:
            section, _, name = change.key.partition("/")
            if section != "failure_domains" or change.op != "set":
                return ""
            names.add(name)
        for key, value in sorted(self.configuration.values.items()):
            if not key.startswith("standing_approvals/"):
                continue
            if author in value["operators"] and names.issubset(
                value["failure_domains"]
            ):
                return key
        return ""

    def _apply_patch(
        self, record: PatchRecord, approver: str, unix_ms: int
    ) -> PatchReceipt:
        version = self.configuration.version + 1
        values: dict[str, Any] = dict(self.configuration.values)
        domain_versions = dict(self.configuration.domain_versions)
        for change in record.changes:
            section, _, name = change.key.partition("/")
            if section == "failure_domains":
                domain_versions[name] = version
            if change.op == "set":
                values[change.key] = change.value
            else:
                values.pop(change.key, None)
        self.configuration = Configuration(
            version=version, values=values, domain_versions=domain_versions
        )
        receipt = msgspec.structs.replace(
            record.receipt, state="approved", version=version
        )
        self._pending.pop(receipt.patch_id, None)
        self.patches[receipt.patch_id] = msgspec.structs.replace(
            record, receipt=receipt
        )
        self.versions[version] = VersionRecord(
            version=version,
            patch_id=receipt.patch_id,
            digest=receipt.digest,
            author=record.author,
            approver=approver,
            changes=record.changes,
            approved_unix_ms=unix_ms,
        )
        self.versions.pop(version - VERSIONS_KEPT, None)
        # All other pending patches are based on an older version.
        for outdated in self.pending():
            self._close_patch(outdated, "void")
        return receipt

    def _close_patch(self, record: PatchRecord, state: str) -> PatchReceipt:
        receipt = msgspec.structs.replace(record.receipt, state=state)
        self._pending.pop(receipt.patch_id, None)
        self.patches[receipt.patch_id] = msgspec.structs.replace(
            record, receipt=receipt
        )
        return receipt

    def _remove_old_patches(self) -> None:
        excess = len(self.patches) - CLOSED_PATCHES_KEPT - PENDING_PATCHES_MAX
        if excess <= 0:
            return
        closed = [
            patch_id
            for patch_id, record in self.patches.items()
            if record.receipt.state != "pending"
        ]
        for patch_id in closed[:excess]:
            del self.patches[patch_id]
