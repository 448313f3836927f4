"""Messages about where a job would be placed."""

from sardinespool.messages.base import Message
from sardinespool.messages.workflows import WorkflowSpec


class ExplainPlacement(Message, frozen=True, kw_only=True):
    """Ask where a job would start now, without submitting it.

    The fields are those of `SubmitWorkflow`, and so are the errors.
    """

    host: str
    path: str
    spec: WorkflowSpec
    key_digest: bytes = b""


class PlacementExplanation(Message, frozen=True, kw_only=True):
    """Where a job would start, as JSON."""

    json: bytes
