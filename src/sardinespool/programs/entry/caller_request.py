"""Parsing of a caller's request line and headers."""

import dataclasses
import hashlib
import urllib.parse

from sardinespool.clock import Instant
from sardinespool.errors.requests import InvalidRequestError
from sardinespool.errors.requests import PathNotFoundError
from sardinespool.programs.entry import headers as names
from sardinespool.routing.keys import is_valid_key
from sardinespool.transport.http_messages import HttpRequest

METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}
)
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_MAX_USER_LENGTH = 200


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Validated headers; None stands for a header that was not sent."""

    service: str
    idempotent: bool
    deadline_unix_ms: int | None
    caller_key: str
    user: str
    forwarded: bool
    forwarded_request_id: str


def read_headers(request: HttpRequest) -> CallerHeaders:
    """Parse and validate the request line and headers of a request.

    Raises
    ------
    InvalidRequestError
        A header is malformed, or the method is not supported.
    PathNotFoundError
        The path names no service.
    """
    if request.method not in METHODS:
        raise InvalidRequestError(
            "The method is unknown.",
            found=request.method,
            allowed=sorted(METHODS),
        )
    forwarded = request.header(names.FORWARDED_HEADER) == "1"
    forwarded_request_id = (
        request.header(names.REQUEST_ID_HEADER) if forwarded else None
    )
    return CallerHeaders(
        service=_parse_service(request),
        idempotent=_parse_idempotent(request),
        deadline_unix_ms=_parse_deadline(request),
        caller_key=_parse_key(request),
        user=(request.header(names.USER_HEADER) or "")[:_MAX_USER_LENGTH],
        forwarded=forwarded,
        forwarded_request_id=forwarded_request_id or "",
    )


def request_deadline(
    requested_unix_ms: int | None,
    timeout_ms: int,
    max_timeout_ms: int,
    now: Instant,
) -> int:
    """Return the deadline of a request.

    Parameters
    ----------
    requested_unix_ms : int or None
        Deadline that the caller requested.
    timeout_ms : int
        Default timeout of the service.
    max_timeout_ms : int
        Maximum timeout; it also bounds the wait of a graceful shutdown.
    now : Instant
        Arrival time of the request.
    """
    if requested_unix_ms is None:
        return now.unix_ms + min(timeout_ms, max_timeout_ms)
    return min(requested_unix_ms, now.unix_ms + max_timeout_ms)


def body_digest(request: HttpRequest) -> str:
    """Return the SHA-256 of method, target and body.

    A key that is reused with another digest is refused.
    """
    digest = hashlib.sha256()
    digest.update(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()


def _parse_service(request: HttpRequest) -> str:
    path = request.target.partition("?")[0]
    rest = path.removeprefix(names.SERVICES_PATH + "/")
    service = urllib.parse.unquote(rest.partition("/")[0])
    if rest == path or not service:
        raise PathNotFoundError(
            "The path names no service.",
            allowed=f"{names.SERVICES_PATH}/<service>/<path>",
        )
    return service


def _parse_idempotent(request: HttpRequest) -> bool:
    value = request.header(names.IDEMPOTENT_HEADER)
    match value.lower() if value is not None else None:
        case None:
            return request.method in _IDEMPOTENT_METHODS
        case "true":
            return True
        case "false":
            return False
    raise InvalidRequestError(
        f"{names.IDEMPOTENT_HEADER} has a wrong value",
        found=value,
        allowed=["true", "false"],
    )


def _parse_deadline(request: HttpRequest) -> int | None:
    value = request.header(names.DEADLINE_HEADER)
    if value is None:
        return None
    # 15 digits cover 31,000 years; the limit bounds the cost of parsing.
    if not (value.isascii() and value.isdigit() and len(value) <= 15):
        raise InvalidRequestError(
            f"{names.DEADLINE_HEADER} has a wrong value",
            found=value[:40],
            allowed="milliseconds since 1970",
        )
    return int(value)


def _parse_key(request: HttpRequest) -> str:
    value = request.header(names.KEY_HEADER)
    if value is None:
        return ""
    if not is_valid_key(value):
        raise InvalidRequestError(
            f"{names.KEY_HEADER} has a wrong value",
            found=value[:40],
            allowed="1 to 200 printable ASCII characters without spaces",
        )
    return value
