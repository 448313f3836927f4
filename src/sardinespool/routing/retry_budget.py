"""Budget of retries and hedges as a share of recent requests."""

_BURST_RETRIES = 10.0
_INITIAL_RETRIES = 1.0


class RetryBudget:
    """Token bucket: each request adds `share`, each retry takes one.

    The bucket holds at most 10 tokens, so a long quiet time does not allow a
    burst of retries when endpoints fail. It starts with one, so that a
    service with few requests can retry at all. Over any number `n` of
    requests there are at most ``1 + share * n`` retries.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = _INITIAL_RETRIES

    def count_request(self) -> None:
        """Add the share of one first attempt."""
        self._tokens = min(_BURST_RETRIES, self._tokens + self.share)

    def take(self) -> bool:
        """Take one retry; return False if the budget is used up."""
        # The tolerance absorbs the rounding of ten additions of 0.1.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True
