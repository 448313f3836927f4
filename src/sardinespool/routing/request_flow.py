"""State machine of one request, from arrival to the reply."""

from sardinespool.clock import Instant
from sardinespool.routing.hedging import HedgePolicy
from sardinespool.routing.idempotent_flow import IdempotentFlow
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.non_idempotent_flow import NonIdempotentFlow
from sardinespool.routing.request_effects import FlowEffect
from sardinespool.routing.request_events import FlowEvent
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget


class RequestFlow:
    """State machine of one request, without I/O.

    It returns exactly one ``Reply...`` effect, and exactly one `ReleaseSlot`
    for each slot that it was given.

    Parameters
    ----------
    plan : RequestPlan
        The request.
    entry_id : str
        Name of this entry, stored in the request record.
    budget : RetryBudget
        Retry budget, shared by all requests of the service.
    keys : KeySource
        Generator of idempotency keys.
    hedging : HedgePolicy
        Hedging of idempotent requests; off by default.
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
        self._flow: IdempotentFlow | NonIdempotentFlow
        if plan.idempotent:
            self._flow = IdempotentFlow(plan, budget, hedging or HedgePolicy())
        else:
            self._flow = NonIdempotentFlow(plan, entry_id, budget, keys)

    @property
    def done(self) -> bool:
        """Whether the request has ended and ignores further events."""
        return self._flow.done

    def handle(self, event: FlowEvent, now: Instant) -> list[FlowEffect]:
        """Process one event and return the resulting effects."""
        return self._flow.handle(event, now)

    def may_send_first_byte(self, now: Instant) -> bool:
        """Return whether the first byte may be written at `now`.

        Checked right before the write, since the process may have been
        suspended after the decision to send.
        """
        return self._flow.may_send_first_byte(now)
