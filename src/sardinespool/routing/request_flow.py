"""Life of one request, from its arrival to the caller's ending."""

from sardinespool.clock import Instant
from sardinespool.routing.hedging import HedgePolicy
from sardinespool.routing.idempotent_flow import IdempotentFlow
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.recorded_flow import RecordedFlow
from sardinespool.routing.request_effects import FlowEffect
from sardinespool.routing.request_events import FlowEvent
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget


class RequestFlow:
    """Pure state machine of one request.

    Exactly one of the effects ``Reply...`` is returned over its life. Every
    slot that was given is returned once.

    Parameters
    ----------
    plan : RequestPlan
        The request.
    entry_id : str
        Name of this entry, for the request record.
    budget : RetryBudget
        Retry budget of the service, shared by its requests.
    keys : KeySource
        Source of generated keys.
    hedging : HedgePolicy
        Whether idempotent requests are hedged; off by default.
    """

    def __init__(
        self,
        plan: RequestPlan,
        entry_id: str,
        budget: RetryBudget,
        keys: KeySource,
        hedging: HedgePolicy | None = None,
    ) -> None:
        self.plan = plan
        self._flow: IdempotentFlow | RecordedFlow
        if plan.idempotent:
            self._flow = IdempotentFlow(plan, budget, hedging or HedgePolicy())
        else:
            self._flow = RecordedFlow(plan, entry_id, budget, keys)

    @property
    def done(self) -> bool:
        """Whether the request needs no further event."""
        return self._flow.done

    def handle(self, event: FlowEvent, now: Instant) -> list[FlowEffect]:
        """Take one event and return what follows from it."""
        return self._flow.handle(event, now)

    def may_send_first_byte(self, now: Instant) -> bool:
        """Tell whether the first byte may leave at `now`.

        Asked right before the write, since the process may have been frozen
        after the decision to send.
        """
        return self._flow.may_send_first_byte(now)
