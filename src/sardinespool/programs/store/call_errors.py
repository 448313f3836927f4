"""Errors of the calls that a member of a group can't serve."""

from sardinespool.errors.replication import LogFullError
from sardinespool.errors.replication import NotLeaderError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.replication.identity import member_name


def log_full_error(group: str) -> LogFullError:
    """Return the error for a command that the log has no room for."""
    return LogFullError(
        "Too many commands are not committed yet.", group=group
    )


def not_leader_error(group: str, leader: str) -> NotLeaderError:
    """Return the error that names the leader, an identity or ""."""
    return NotLeaderError(
        "The member does not lead the group.",
        group=group,
        leader=member_name(leader),
    )


def reply_withheld_error(group: str) -> ProposalLostError:
    """Return the error for a request whose reply the lease did not outlast.

    The request may have been committed, so it is not a refusal.
    """
    return ProposalLostError("The lease ended before the reply.", group=group)
