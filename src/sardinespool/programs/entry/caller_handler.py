"""Conversion between callers' HTTP requests and request flows."""

import asyncio
import itertools
import secrets
from collections.abc import Callable

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.errors.requests import BodyTooLargeError
from sardinespool.errors.requests import InvalidRequestError
from sardinespool.errors.requests import ServiceNotFoundError
from sardinespool.errors.transport import NotReadyError
from sardinespool.programs.entry import headers as names
from sardinespool.programs.entry.caller_request import body_digest
from sardinespool.programs.entry.caller_request import CallerHeaders
from sardinespool.programs.entry.caller_request import read_headers
from sardinespool.programs.entry.caller_request import request_deadline
from sardinespool.programs.entry.credentials import Credentials
from sardinespool.programs.entry.entry_state import EntryState
from sardinespool.programs.entry.request_runner import RequestRunner
from sardinespool.programs.entry.request_runner import RunnerContext
from sardinespool.programs.entry.responses import error_response
from sardinespool.programs.entry.responses import outcome_from_headers
from sardinespool.programs.entry.responses import OUTCOME_HEADER
from sardinespool.routing import request_effects as effects
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.service_policy import ServicePolicy
from sardinespool.settings.model import EntrySettings
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import ReceivedRequest


class CallerHandler:
    """Answers ``/v1/services/<service>/<path>``.

    Parameters
    ----------
    settings : EntrySettings
        Limits and default values.
    state : EntryState
        Readiness of the entry.
    credentials : Credentials
        Authenticates callers.
    keys : KeySource
        Generator of idempotency keys.
    context : RunnerContext
        Objects shared by all request runners.
    """

    def __init__(
        self,
        settings: EntrySettings,
        state: EntryState,
        credentials: Credentials,
        keys: KeySource,
        context: RunnerContext,
    ) -> None:
        self._settings = settings
        self._state = state
        self._credentials = credentials
        self._keys = keys
        self._context = context
        self._clock: Callable[[], Instant] = context.clock
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._running: set[RequestRunner] = set()
        self._request_ended = asyncio.Event()
        # Distinguishes the attempts of this process from those of an earlier
        # process with the same name.
        self._process_id = secrets.token_hex(8)
        self._request_counter = itertools.count(1)

    @property
    def running(self) -> int:
        """Number of running requests, including outcomes being stored."""
        return len(self._running)

    async def handle(self, received: ReceivedRequest) -> HttpResponse:
        """Answer one request."""
        started = self._clock()
        request_id = self._next_request_id()
        reported_id = request_id
        request = received.request
        service = ""
        try:
            caller_headers = read_headers(request)
            reported_id = caller_headers.forwarded_request_id or request_id
            policy = self._admit(received, caller_headers)
            service = policy.name
            plan = self._make_plan(request_id, request, caller_headers, policy)
            reply = await self._run(plan, request, policy)
            answer = _reply_to_http(reply, reported_id)
        except SardinespoolError as error:
            answer = error_response(
                error, "not-run", ((names.REQUEST_ID_HEADER, reported_id),)
            )
        self._record_metrics(service, answer, started)
        return answer

    async def drain(self) -> None:
        """Wait until all running requests have ended."""
        while self._running:
            self._request_ended.clear()
            await self._request_ended.wait()

    def _next_request_id(self) -> str:
        number = next(self._request_counter)
        return f"{self._settings.name}-{self._process_id}-{number}"

    def _admit(
        self, received: ReceivedRequest, caller_headers: CallerHeaders
    ) -> ServicePolicy:
        credential = self._credentials.require(received.request, "caller")
        if not self._state.ready:
            raise NotReadyError(self._state.reason)
        if received.too_large:
            raise BodyTooLargeError(
                "The body is over the limit.",
                limit_bytes=self._settings.body_limit_bytes,
            )
        policy = self._context.router.router.table.policies.get(
            caller_headers.service
        )
        if policy is None:
            raise ServiceNotFoundError(
                "The configuration has no such service.",
                service=caller_headers.service,
                caller=credential.name,
            )
        return policy

    def _make_plan(
        self,
        request_id: str,
        request: HttpRequest,
        caller_headers: CallerHeaders,
        policy: ServicePolicy,
    ) -> RequestPlan:
        if "\r" in caller_headers.user or "\n" in caller_headers.user:
            raise InvalidRequestError(
                f"{names.USER_HEADER} has a wrong value",
                allowed="printable characters",
            )
        return RequestPlan(
            # Never a forwarded id: records identify attempts by this id.
            request_id=request_id,
            service=policy.name,
            user=caller_headers.user,
            deadline_unix_ms=request_deadline(
                caller_headers.deadline_unix_ms,
                policy.timeout_ms or self._settings.default_timeout_ms,
                self._settings.longest_timeout_ms,
                self._clock(),
            ),
            idempotent=caller_headers.idempotent,
            body_digest=""
            if caller_headers.idempotent
            else body_digest(request),
            caller_key=caller_headers.caller_key,
            forwarded=caller_headers.forwarded,
        )

    async def _run(
        self, plan: RequestPlan, request: HttpRequest, policy: ServicePolicy
    ) -> effects.FlowReply:
        flow = RequestFlow(
            plan, self._settings.name, self._retry_budget(policy), self._keys
        )
        runner = RequestRunner(
            flow, request, self._context, self._on_runner_ended
        )
        self._running.add(runner)
        runner.start()
        # If the caller disconnects the request continues, so that its outcome
        # is stored; the shield keeps a cancellation from reaching it.
        return await asyncio.shield(runner.reply)

    def _on_runner_ended(self, runner: RequestRunner) -> None:
        self._running.discard(runner)
        self._request_ended.set()

    def _retry_budget(self, policy: ServicePolicy) -> RetryBudget:
        share = policy.retry_share
        if share is None:
            share = self._settings.retry_share
        budget = self._retry_budgets.get(policy.name)
        if budget is None or budget.share != share:
            budget = self._retry_budgets[policy.name] = RetryBudget(share)
        return budget

    def _record_metrics(
        self, service: str, answer: HttpResponse, started: Instant
    ) -> None:
        metrics = self._context.metrics
        outcome = answer.header(OUTCOME_HEADER) or ""
        metrics.requests.inc(service=service, outcome=outcome)
        if service:
            elapsed_ms = self._clock().boot_ms - started.boot_ms
            metrics.latency_ms.observe(
                elapsed_ms, service=service, outcome=outcome
            )


def _reply_to_http(reply: effects.FlowReply, request_id: str) -> HttpResponse:
    common = [(names.REQUEST_ID_HEADER, request_id)]
    if reply.key:
        common.append((names.KEY_USED_HEADER, reply.key))
    match reply:
        case effects.ReplyAnswered(stored):
            return HttpResponse(
                stored.status,
                (*stored.headers, *common, (OUTCOME_HEADER, "answered")),
                stored.body,
            )
        case effects.ReplyForwarded(stored):
            outcome = outcome_from_headers(stored.headers)
            headers = names.answer_headers(stored.headers, "")
            return HttpResponse(
                stored.status,
                (*headers, *common, (OUTCOME_HEADER, outcome)),
                stored.body,
            )
        case effects.ReplyNotRun(error):
            return error_response(error, "not-run", tuple(common))
        case effects.ReplyUnknown(error):
            return error_response(error, "unknown", tuple(common))
