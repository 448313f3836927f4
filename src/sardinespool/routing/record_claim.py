"""Claim of a key's only run at its home group."""

from sardinespool.clock import Instant
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredAnswer
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.keys import KeyHome
from sardinespool.routing.keys import locate_key
from sardinespool.routing.request_effects import Begin
from sardinespool.routing.request_effects import StoreOutcome
from sardinespool.routing.request_plan import RequestPlan

STORE_AFTER_DEADLINE_MS = 5_000
"""Time after the request's deadline in which an outcome is still stored.

The caller has its ending by then; a repeat of the key gets the outcome.
"""
_SHORTEST_BEGIN_MS = 100
_ASK_AGAIN_FIRST_MS = 25
_ASK_AGAIN_LONGEST_MS = 400


class RecordClaim:
    """Key, home and attempts of one request.

    A caller's own key has one home. A generated key is replaced by one with
    another home as long as no begin of it was answered: nobody else knows
    the old key and nothing was sent under it.

    Attributes
    ----------
    attempt : int
        Number of the last begin; 0 before the first.
    held : bool
        Whether the home group granted the last attempt.
    """

    def __init__(
        self, plan: RequestPlan, entry_id: str, keys: KeySource
    ) -> None:
        self._plan = plan
        self._entry_id = entry_id
        self._keys = keys
        self._home: KeyHome | None = None
        self._homes_left: list[str] = []
        if plan.own_key:
            self._home = locate_key(plan.own_key, keys.failure_domains)
        else:
            self._homes_left = keys.homes(plan.request_id)
        self._ask_again_ms = _ASK_AGAIN_FIRST_MS
        self.attempt = 0
        self.held = False

    @property
    def key(self) -> str:
        """The key, empty until one was generated."""
        return self._home.key if self._home is not None else ""

    def ensure_key(self, now: Instant) -> KeyHome:
        """Return the key with its home; generate it the first time."""
        if self._home is None:
            home = self._homes_left.pop(0)
            self._home = self._keys.generate(home, now.unix_ms)
        return self._home

    def begin(self, now: Instant) -> Begin:
        """Start the next attempt.

        While other homes are left, a third of the remaining time is spent
        on this one.
        """
        home = self.ensure_key(now)
        self.attempt += 1
        deadline_unix_ms = self._plan.deadline_unix_ms
        if self._homes_left:
            remaining_ms = deadline_unix_ms - now.unix_ms
            patience_ms = max(_SHORTEST_BEGIN_MS, remaining_ms // 3)
            deadline_unix_ms = min(deadline_unix_ms, now.unix_ms + patience_ms)
        request = BeginRequest(
            key=home.key,
            body_digest=self._plan.body_digest,
            entry_id=self._entry_id,
            attempt_id=self._attempt_id(),
            send_deadline_unix_ms=self._plan.deadline_unix_ms,
            group_incarnation=home.group_incarnation,
        )
        return Begin(
            self.attempt, home.failure_domain, request, deadline_unix_ms
        )

    def take_next_home(self) -> bool:
        """Give up a generated key; return False if no home is left."""
        if not self._homes_left:
            return False
        self._home = None
        return True

    def answered(self) -> None:
        """Note that the home group knows the key."""
        self._homes_left = []

    def next_ask_unix_ms(self, now: Instant) -> int:
        """Return when to ask again for a key that another attempt holds.

        The interval doubles from 25 to 400 ms; the last ask is at the
        deadline.
        """
        wait_ms = self._ask_again_ms
        self._ask_again_ms = min(_ASK_AGAIN_LONGEST_MS, 2 * wait_ms)
        return min(self._plan.deadline_unix_ms, now.unix_ms + wait_ms)

    def finish(self, answer: StoredAnswer | None) -> StoreOutcome:
        """Store the outcome of the granted attempt."""
        return self._store(
            FinishRequest(
                key=self.key, attempt_id=self._attempt_id(), answer=answer
            )
        )

    def abandon(self) -> StoreOutcome:
        """Give the claim back."""
        self.held = False
        return self._store(
            AbandonRequest(key=self.key, attempt_id=self._attempt_id())
        )

    def _attempt_id(self) -> str:
        return f"{self._plan.request_id}/{self.attempt}"

    def _store(self, request: FinishRequest | AbandonRequest) -> StoreOutcome:
        assert self._home is not None
        return StoreOutcome(
            self._home.failure_domain,
            request,
            self._plan.deadline_unix_ms + STORE_AFTER_DEADLINE_MS,
        )
