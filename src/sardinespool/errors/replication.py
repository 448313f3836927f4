"""Errors of the replicated log."""

from sardinespool.errors.base import SardinespoolError


class ReplicationError(SardinespoolError):
    """The replicated log could not process a call."""

    http_status = 503


class NotLeaderError(ReplicationError):
    """The member isn't the leader; ``details['leader']`` may name it."""


class GroupUnavailableError(ReplicationError):
    """No leader of the group replied before the deadline."""


class ProposalLostError(ReplicationError):
    """Leadership changed before the proposal was committed."""


class LogFullError(ReplicationError):
    """The uncommitted commands leave no room for this one; it has not run."""


class MembershipChangeError(ReplicationError):
    """Another membership change is in progress or the change is invalid."""

    http_status = 409
