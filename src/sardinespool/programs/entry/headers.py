"""Headers between callers, entries and endpoints."""

from sardinespool.messages.requests import StoredAnswer
from sardinespool.routing import request_events as events
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.transport.http_messages import ExchangeAnswered
from sardinespool.transport.http_messages import ExchangeNotSent
from sardinespool.transport.http_messages import ExchangeResult
from sardinespool.transport.http_messages import Headers
from sardinespool.transport.http_messages import HttpRequest

SERVICES_PATH = "/v1/services"
PREFIX = "sardinespool-"
DEADLINE_HEADER = "Sardinespool-Deadline-Unix-Ms"
FORWARDED_HEADER = "Sardinespool-Forwarded"
IDEMPOTENT_HEADER = "Sardinespool-Idempotent"
KEY_HEADER = "Idempotency-Key"
KEY_USED_HEADER = "Sardinespool-Key"
NOT_RUN_HEADER = "Sardinespool-Not-Run"
REQUEST_ID_HEADER = "Sardinespool-Request-Id"
USER_HEADER = "Sardinespool-User"

_CONNECTION_HEADERS = frozenset(
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
    """Return what an endpoint gets: ``/<service>/<path>``.

    The caller's token stays here.
    """
    headers = [
        *_passed_headers(
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
    """Return what an entry of another failure domain gets."""
    headers = [
        *_passed_headers(request.headers, ("idempotency-key",)),
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
    """Return the headers of an endpoint's answer that the caller gets.

    The answer to HEAD keeps its length, since it has no body to take it
    from.
    """
    kept = [] if method != "HEAD" else _named(headers, "content-length")
    return (*_passed_headers(headers, ()), *kept)


def send_result(result: ExchangeResult) -> events.SendResult:
    """Return what an exchange means to the flow."""
    match result:
        case ExchangeAnswered(answer):
            not_run = (
                answer.status == 503
                and (answer.header(NOT_RUN_HEADER) or "").lower() == "true"
            )
            return events.Answered(
                StoredAnswer(
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


def _passed_headers(
    headers: Headers, without: tuple[str, ...]
) -> list[tuple[str, str]]:
    named_by_connection = {
        name.strip().lower()
        for _, value in _named(headers, "connection")
        for name in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_HEADERS
        and name.lower() not in without
        and name.lower() not in named_by_connection
        and not name.lower().startswith(PREFIX)
    ]


def _named(headers: Headers, name: str) -> list[tuple[str, str]]:
    return [pair for pair in headers if pair[0].lower() == name]
