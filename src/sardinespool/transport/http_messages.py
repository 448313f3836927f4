"""Complete HTTP requests and responses, and results of exchanges."""

import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body; `target` is path and query.

    Its representation, which an error can bring into the log, leaves out what
    may hold credentials.
    """

    method: str
    target: str
    headers: Headers = dataclasses.field(default=(), repr=False)
    body: bytes = dataclasses.field(default=b"", repr=False)

    def header(self, name: str) -> str | None:
        """Return the first value of a header; names are case-insensitive."""
        return _first_value(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its complete body, which its representation omits."""

    status: int
    headers: Headers = ()
    body: bytes = dataclasses.field(default=b"", repr=False)

    def header(self, name: str) -> str | None:
        """Return the first value of a header; names are case-insensitive."""
        return _first_value(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeAnswered:
    """The complete response to the request arrived."""

    response: HttpResponse


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeNotSent:
    """The exchange ended before any byte of the request was sent.

    `peer_closed` tells that the peer closed or refused the connection.
    """

    reason: str
    peer_closed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeLost:
    """Bytes may have been sent, and no complete response arrived.

    `peer_closed` tells that the peer closed the connection.
    """

    reason: str
    peer_closed: bool = False


ExchangeResult = ExchangeAnswered | ExchangeNotSent | ExchangeLost


def _first_value(headers: Headers, name: str) -> str | None:
    lower_name = name.lower()
    for key, value in headers:
        if key.lower() == lower_name:
            return value
    return None
