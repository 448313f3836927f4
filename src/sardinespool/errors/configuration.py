"""Errors of patches, approvals and configuration versions."""

from sardinespool.errors.base import SardinespoolError


class ConfigurationError(SardinespoolError):
    """A patch or an approval was rejected."""

    http_status = 400


class VersionConflictError(ConfigurationError):
    """The patch is not based on the current version."""

    http_status = 409


class DigestMismatchError(ConfigurationError):
    """The approval's digest doesn't match the patch."""

    http_status = 409


class SelfApprovalError(ConfigurationError):
    """The approver is the author of the patch."""

    http_status = 403


class PatchIdReusedError(ConfigurationError):
    """The patch id was already used with different content."""

    http_status = 409


class PatchNotFoundError(ConfigurationError):
    """There is no patch with this id."""

    http_status = 404


class PatchClosedError(ConfigurationError):
    """The patch was rejected or is void, so it can't be approved."""

    http_status = 409


class InvalidChangeError(ConfigurationError):
    """A change has an unknown section or an invalid value."""


class InvalidManifestError(ConfigurationError):
    """A manifest can't be parsed completely or is inconsistent."""

    http_status = 400
