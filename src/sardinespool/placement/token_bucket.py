"""Token bucket driven by the timestamps of scheduling views."""


class TokenBucket:
    """Budget that refills at a rate up to a capacity and starts full."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._updated_unix_ms = 0

    def refill(self, per_second: float, capacity: float, unix_ms: int) -> None:
        """Add the tokens for the time since the last call."""
        if self._tokens is None:
            self._tokens = capacity
        else:
            elapsed_ms = max(0, unix_ms - self._updated_unix_ms)
            self._tokens = min(
                capacity, self._tokens + per_second * elapsed_ms / 1000.0
            )
        self._updated_unix_ms = max(unix_ms, self._updated_unix_ms)

    def empty(self) -> None:
        """Remove all tokens."""
        self._tokens = 0.0

    def available(self) -> float:
        """Return the number of tokens."""
        return self._tokens or 0.0

    def take(self, count: int, minimum_left: float = 0.0) -> bool:
        """Take tokens if `minimum_left` remain; return whether it did."""
        if self.available() - minimum_left < count:
            return False
        self._tokens = self.available() - count
        return True
