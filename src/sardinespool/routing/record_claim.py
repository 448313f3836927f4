"""Claim of the right to run an idempotency key, at its home group."""

from sardinespool.clock import Instant
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.messages.requests import StoredResponse
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.keys import KeyHome
from sardinespool.routing.keys import locate_key
from sardinespool.routing.request_effects import Begin
from sardinespool.routing.request_effects import StoreOutcome
from sardinespool.routing.request_plan import RequestPlan

OUTCOME_STORE_GRACE_MS = 5_000
"""Time after the request's deadline in which an outcome is still stored.

The caller has its reply by then; a repeat of the key gets the outcome.
"""
_MIN_BEGIN_TIMEOUT_MS = 100
_INITIAL_POLL_INTERVAL_MS = 25
_MAX_POLL_INTERVAL_MS = 400


class RecordClaim:
    """Idempotency key, home group and begin attempts of one request.

    A caller's key has exactly one home. A generated key can be replaced by
    one with another home until a begin of it has been answered: nobody else
    knows the old key, and no request was sent with it.

    Attributes
    ----------
    attempt : int
        Number of the last begin attempt; 0 before the first.
    held : bool
        Whether the home group has granted the last attempt.
    """

    def __init__(
        self, plan: RequestPlan, entry_id: str, keys: KeySource
    ) -> None:
        self._plan = plan
        self._entry_id = entry_id
        self._keys = keys
        self._home: KeyHome | None = None
        self._remaining_homes: list[str] = []
        if plan.caller_key:
            self._home = locate_key(plan.caller_key, keys.failure_domains)
        else:
            self._remaining_homes = keys.homes(plan.request_id)
        self._poll_interval_ms = _INITIAL_POLL_INTERVAL_MS
        self.attempt = 0
        self.held = False

    @property
    def key(self) -> str:
        """The idempotency key, empty until one has been generated."""
        return self._home.key if self._home is not None else ""

    def ensure_key(self, now: Instant) -> KeyHome:
        """Return the key with its home; generate it on the first call."""
        if self._home is None:
            home = self._remaining_homes.pop(0)
            self._home = self._keys.generate(home, now.unix_ms)
        return self._home

    def begin(self, now: Instant) -> Begin:
        """Start the next begin attempt.

        While other homes remain, the attempt may take a third of the
        remaining time.
        """
        home = self.ensure_key(now)
        self.attempt += 1
        deadline_unix_ms = self._plan.deadline_unix_ms
        if self._remaining_homes:
            remaining_ms = deadline_unix_ms - now.unix_ms
            timeout_ms = max(_MIN_BEGIN_TIMEOUT_MS, remaining_ms // 3)
            deadline_unix_ms = min(deadline_unix_ms, now.unix_ms + timeout_ms)
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

    def discard_home(self) -> bool:
        """Drop a generated key; return False if no other home remains."""
        if not self._remaining_homes:
            return False
        self._home = None
        return True

    def confirm_home(self) -> None:
        """Keep the key, since its home group has answered a begin."""
        self._remaining_homes = []

    def next_poll_unix_ms(self, now: Instant) -> int:
        """Return when to poll again for a key that another attempt holds.

        The interval doubles from 25 to 400 ms; the last poll is at the
        deadline.
        """
        wait_ms = self._poll_interval_ms
        self._poll_interval_ms = min(_MAX_POLL_INTERVAL_MS, 2 * wait_ms)
        return min(self._plan.deadline_unix_ms, now.unix_ms + wait_ms)

    def finish(self, answer: StoredResponse | None) -> StoreOutcome:
        """Return the effect that stores the outcome of the attempt."""
        return self._store(
            FinishRequest(
                key=self.key, attempt_id=self._attempt_id(), answer=answer
            )
        )

    def abandon(self) -> StoreOutcome:
        """Return the effect that releases the claim without a run."""
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
            self._plan.deadline_unix_ms + OUTCOME_STORE_GRACE_MS,
        )
