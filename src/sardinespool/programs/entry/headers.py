"""HTTP headers exchanged between callers, entries and endpoints."""

from sardinespool.messages.requests import StoredResponse
from sardinespool.routing import request_events as events
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.transport.http_messages import ExchangeAnswered
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import Headers
from sardinespool.transport.http_messages import HttpRequest

SERVICES_PATH = "/v1/services"
HEADER_PREFIX = "sardinespool-"
DEADLINE_HEADER = "Sardinespool-Deadline-Unix-Ms"
FORWARDED_HEADER = "Sardinespool-Forwarded"
IDEMPOTENT_HEADER = "Sardinespool-Idempotent"
KEY_HEADER = "Idempotency-Key"
KEY_USED_HEADER = "Sardinespool-Key"
NOT_RUN_HEADER = "Sardinespool-Not-Run"
REQUEST_ID_HEADER = "Sardinespool-Request-Id"
USER_HEADER = "Sardinespool-User"

_NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def endpoint_request(
    plan: RequestPlan, request: HttpRequest, key: str
) -> HttpRequest:
    """Return the request to an endpoint, for ``/<service>/<path>``.

    The caller's token is removed.
    """
    headers = [
        *_end_to_end_headers(
            request.headers, ("authorization", "idempotency-key")
        ),
        (DEADLINE_HEADER, str(plan.deadline_unix_ms)),
        (USER_HEADER, plan.user),
    ]
    if key:
        headers.append((KEY_HEADER, key))
    target = request.target.removeprefix(SERVICES_PATH)
    return HttpRequest(request.method, target, tuple(headers), request.body)


def forwarded_request(
    plan: RequestPlan, request: HttpRequest, key: str
) -> HttpRequest:
    """Return the request to an entry of another failure domain."""
    headers = [
        *_end_to_end_headers(request.headers, ("idempotency-key",)),
        (DEADLINE_HEADER, str(plan.deadline_unix_ms)),
        (FORWARDED_HEADER, "1"),
        (IDEMPOTENT_HEADER, "true" if plan.idempotent else "false"),
        (USER_HEADER, plan.user),
    ]
    if key:
        headers.append((KEY_HEADER, key))
    return HttpRequest(
        request.method, request.target, tuple(headers), request.body
    )


def answer_headers(headers: Headers, method: str) -> Headers:
    """Return the headers of an endpoint's answer to pass to the caller.

    The answer to HEAD keeps its Content-Length, which can't be computed
    without a body.
    """
    kept = (
        [] if method != "HEAD" else _select_headers(headers, "content-length")
    )
    return (*_end_to_end_headers(headers, ()), *kept)


def send_result(result: ExchangeResult) -> events.SendResult:
    """Convert the result of an exchange to that of a send."""
    match result:
        case ExchangeAnswered(answer):
            not_run = (
                answer.status == 503
                and (answer.header(NOT_RUN_HEADER) or "").lower() == "true"
            )
            return events.Answered(
                StoredResponse(
                    status=answer.status,
                    headers=answer.headers,
                    body=answer.body,
                ),
                not_run,
            )
        case ExchangeNotSent(reason):
            return events.NotSent(reason)
        case _:
            return events.Lost(result.reason)


def _end_to_end_headers(
    headers: Headers, removed: tuple[str, ...]
) -> list[tuple[str, str]]:
    connection_options = {
        name.strip().lower()
        for _, value in _select_headers(headers, "connection")
        for name in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _NOT_FORWARDED_HEADERS
        and name.lower() not in removed
        and name.lower() not in connection_options
        and not name.lower().startswith(HEADER_PREFIX)
    ]


def _select_headers(headers: Headers, name: str) -> list[tuple[str, str]]:
    return [pair for pair in headers if pair[0].lower() == name]
