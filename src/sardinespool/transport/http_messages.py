"""Whole HTTP requests and answers, and how an exchange ends."""

import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its whole body; `target` is path and query."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, without regard to case."""
        return _find(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An answer with its whole body."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, without regard to case."""
        return _find(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeAnswered:
    """The whole answer to the request arrived."""

    answer: HttpAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeNotSent:
    """The exchange ended before its first byte left this process."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeLost:
    """Bytes may have left, and no whole answer arrived."""

    reason: str


ExchangeResult = ExchangeAnswered | ExchangeNotSent | ExchangeLost


def _find(headers: Headers, name: str) -> str | None:
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return None
