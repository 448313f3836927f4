"""Ending of a request that another failure domain's entry was given."""

from sardinespool.errors.requests import NoEndpointError
from sardinespool.errors.requests import OutcomeUnknownError
from sardinespool.routing import request_effects as effects
from sardinespool.routing import request_events as events


def forward_ending(
    result: events.SendResult, key: str, may_have_run: bool = False
) -> effects.FlowReply:
    """Return the caller's ending.

    Parameters
    ----------
    result : SendResult
        How the exchange with the other entry ended.
    key : str
        Key that went with the request.
    may_have_run : bool
        Whether the request was sent to an endpoint before.
    """
    match result:
        case events.Answered(answer, not_run):
            if not (not_run and may_have_run):
                return effects.ReplyForwarded(answer, key)
            reason = "the other failure domain did not run it again"
        case events.NotSent(reason):
            if not may_have_run:
                return effects.ReplyNotRun(NoEndpointError(reason), key)
        case events.Lost(reason):
            pass
    return effects.ReplyUnknown(OutcomeUnknownError(reason), key)
