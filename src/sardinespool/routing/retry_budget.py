"""Retry budget: limits retries and hedges to a share of requests."""

_MAX_TOKENS = 10.0
_INITIAL_TOKENS = 1.0


class RetryBudget:
    """Token bucket: a request adds `share` tokens, a retry takes one.

    The bucket holds at most 10 tokens, so that a long time without failures
    does not allow a large burst of retries. It starts with one token, so
    that a service with few requests can retry at all. Over any number `n` of
    requests there are at most ``1 + share * n`` retries.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = _INITIAL_TOKENS

    def count_request(self) -> None:
        """Add the tokens of one new request."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.share)

    def take(self) -> bool:
        """Take one token; return False if the budget is exhausted."""
        # The tolerance absorbs the rounding error of ten additions of 0.1.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True
