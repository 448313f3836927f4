"""What a caller's request line and headers ask for."""

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
_USER_LIMIT_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Checked headers; None stands for a header that was not sent."""

    service: str
    idempotent: bool
    deadline_unix_ms: int | None
    own_key: str
    user: str
    forwarded: bool
    echo_id: str


def read_headers(request: HttpRequest) -> CallerHeaders:
    """Check the request line and the headers of a caller's request.

    Raises
    ------
    InvalidRequestError
        A header has a wrong form, or the method is unknown.
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
    echo_id = request.header(names.REQUEST_ID_HEADER) if forwarded else None
    return CallerHeaders(
        service=_service(request),
        idempotent=_idempotent(request),
        deadline_unix_ms=_deadline(request),
        own_key=_key(request),
        user=(request.header(names.USER_HEADER) or "")[
            :_USER_LIMIT_CHARACTERS
        ],
        forwarded=forwarded,
        echo_id=echo_id or "",
    )


def request_deadline(
    asked_unix_ms: int | None, timeout_ms: int, longest_ms: int, now: Instant
) -> int:
    """Return the deadline of a request.

    Parameters
    ----------
    asked_unix_ms : int or None
        What the caller asked for.
    timeout_ms : int
        Default of the service.
    longest_ms : int
        Upper bound; a graceful shutdown waits for no longer than this.
    now : Instant
        Arrival.
    """
    if asked_unix_ms is None:
        return now.unix_ms + min(timeout_ms, longest_ms)
    return min(asked_unix_ms, now.unix_ms + longest_ms)


def body_digest(request: HttpRequest) -> str:
    """Return the SHA-256 of method, target and body.

    A key that comes again with another digest is refused.
    """
    digest = hashlib.sha256()
    digest.update(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()


def _service(request: HttpRequest) -> str:
    path = request.target.partition("?")[0]
    rest = path.removeprefix(names.SERVICES_PATH + "/")
    service = urllib.parse.unquote(rest.partition("/")[0])
    if rest == path or not service:
        raise PathNotFoundError(
            "The path names no service.",
            allowed=f"{names.SERVICES_PATH}/<service>/<path>",
        )
    return service


def _idempotent(request: HttpRequest) -> bool:
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


def _deadline(request: HttpRequest) -> int | None:
    value = request.header(names.DEADLINE_HEADER)
    if value is None:
        return None
    # 15 digits are 31,000 years; more would only cost time to parse.
    if not (value.isascii() and value.isdigit() and len(value) <= 15):
        raise InvalidRequestError(
            f"{names.DEADLINE_HEADER} has a wrong value",
            found=value[:40],
            allowed="milliseconds since 1970",
        )
    return int(value)


def _key(request: HttpRequest) -> str:
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
