"""Routing of operator requests by method and path."""

import dataclasses
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from sardinespool.errors.requests import MethodNotAllowedError
from sardinespool.errors.requests import PathNotFoundError
from sardinespool.programs.entry import operator_configuration as patches
from sardinespool.programs.entry import operator_workloads as work
from sardinespool.programs.entry.credentials import Credentials
from sardinespool.programs.entry.operator_bodies import read_query
from sardinespool.programs.entry.operator_call import OperatorCall
from sardinespool.programs.entry.operator_call import OperatorContext
from sardinespool.programs.entry.responses import json_response
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse

OPERATOR_PATH = "/v1/operator/"
_READERS = ("operator", "approver")
_OPERATORS = ("operator",)
_APPROVERS = ("approver",)


@dataclasses.dataclass(frozen=True, slots=True)
class _Route:
    method: str
    path: tuple[str, ...]
    roles: tuple[str, ...]
    operation: Callable[[OperatorCall], Awaitable[Any]]


_ROUTES = (
    _Route("POST", ("patches",), _OPERATORS, patches.submit_patch),
    _Route("GET", ("patches",), _READERS, patches.list_patches),
    _Route(
        "POST", ("patches", "*", "approve"), _APPROVERS, patches.approve_patch
    ),
    _Route("POST", ("patches", "*", "reject"), _READERS, patches.reject_patch),
    _Route("GET", ("configuration",), _READERS, patches.read_configuration),
    _Route("GET", ("versions",), _READERS, patches.list_versions),
    _Route("GET", ("status",), _READERS, patches.read_status),
    _Route("POST", ("jobs",), _OPERATORS, work.submit_job),
    _Route("GET", ("jobs",), _READERS, work.list_jobs),
    _Route("POST", ("jobs", "*", "cancel"), _OPERATORS, work.cancel_job),
    _Route("GET", ("tasks",), _READERS, work.list_tasks),
    _Route("GET", ("workers",), _READERS, work.list_workers),
    _Route("GET", ("endpoints",), _READERS, work.list_endpoints),
    _Route(
        "POST",
        ("failure-domains", "*", "restrict"),
        _OPERATORS,
        work.restrict_starts,
    ),
    _Route("GET", ("dump",), _OPERATORS, work.dump_state),
)


class OperatorHandler:
    """Answers ``/v1/operator/...``.

    Parameters
    ----------
    context : OperatorContext
        Objects shared by all operator requests.
    credentials : Credentials
        Tokens of operators and approvers.
    """

    def __init__(
        self, context: OperatorContext, credentials: Credentials
    ) -> None:
        self._context = context
        self._credentials = credentials

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request; raise a typed error if it is refused."""
        path = request.target.partition("?")[0].removeprefix(OPERATOR_PATH)
        segments = tuple(
            urllib.parse.unquote(segment) for segment in path.split("/")
        )
        route = _find_route(request.method, segments)
        credential = self._credentials.require(request, *route.roles)
        call = OperatorCall(
            request=request,
            operator=credential.name,
            parameters=tuple(
                segment
                for segment, pattern in zip(segments, route.path, strict=True)
                if pattern == "*"
            ),
            query=read_query(request),
            context=self._context,
        )
        return json_response(await route.operation(call))


def _find_route(method: str, segments: tuple[str, ...]) -> _Route:
    methods = []
    for route in _ROUTES:
        if len(route.path) == len(segments) and all(
            pattern in ("*", segment)
            for pattern, segment in zip(route.path, segments, strict=True)
        ):
            if route.method == method:
                return route
            methods.append(route.method)
    if methods:
        raise MethodNotAllowedError(
            "The path does not take this method.",
            found=method,
            allowed=methods,
        )
    raise PathNotFoundError("Nothing is served at this path.")
