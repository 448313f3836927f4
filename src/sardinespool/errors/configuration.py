"""Errors of patches, approvals and configuration versions."""

from sardinespool.errors.base import SardinespoolError


class ConfigurationError(SardinespoolError):
    """A patch or an approval was refused."""

    http_status = 400


class VersionConflictError(ConfigurationError):
    """The patch's base is not the current version."""

    http_status = 409


class DigestMismatchError(ConfigurationError):
    """The approval names another digest than the patch has."""

    http_status = 409


class SelfApprovalError(ConfigurationError):
    """The approver is the author of the patch."""

    http_status = 403


class PatchIdReusedError(ConfigurationError):
    """The patch id was used before with other content."""

    http_status = 409


class PatchNotFoundError(ConfigurationError):
    """No patch has this id."""

    http_status = 404


class PatchClosedError(ConfigurationError):
    """The patch was rejected or became void."""

    http_status = 409


class InvalidChangeError(ConfigurationError):
    """A change has an unknown section or a value of the wrong form."""


class InvalidManifestError(ConfigurationError):
    """A manifest can't be read in full or contradicts itself."""

    http_status = 400
