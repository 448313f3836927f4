"""Callers' requests: from HTTP to a flow, and its ending back to HTTP."""

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
from sardinespool.programs.entry.answers import error_answer
from sardinespool.programs.entry.answers import header_outcome
from sardinespool.programs.entry.answers import OUTCOME_HEADER
from sardinespool.programs.entry.caller_request import body_digest
from sardinespool.programs.entry.caller_request import CallerHeaders
from sardinespool.programs.entry.caller_request import read_headers
from sardinespool.programs.entry.caller_request import request_deadline
from sardinespool.programs.entry.credentials import Credentials
from sardinespool.programs.entry.entry_state import EntryState
from sardinespool.programs.entry.request_runner import RequestRunner
from sardinespool.programs.entry.request_runner import RunnerParts
from sardinespool.routing import request_effects as effects
from sardinespool.routing.key_source import KeySource
from sardinespool.routing.request_flow import RequestFlow
from sardinespool.routing.request_plan import RequestPlan
from sardinespool.routing.retry_budget import RetryBudget
from sardinespool.routing.service_policy import ServicePolicy
from sardinespool.settings.model import EntrySettings
from sardinespool.transport.http_messages import HttpAnswer
from sardinespool.transport.http_messages import HttpRequest
from sardinespool.transport.http_server import ReceivedRequest


class CallerHandler:
    """Answers ``/v1/services/<service>/<path>``.

    Parameters
    ----------
    settings : EntrySettings
        Limits and defaults.
    state : EntryState
        Whether requests are accepted.
    credentials : Credentials
        Tokens of callers.
    keys : KeySource
        Source of generated keys.
    parts : RunnerParts
        What requests are carried out with.
    """

    def __init__(
        self,
        settings: EntrySettings,
        state: EntryState,
        credentials: Credentials,
        keys: KeySource,
        parts: RunnerParts,
    ) -> None:
        self._settings = settings
        self._state = state
        self._credentials = credentials
        self._keys = keys
        self._parts = parts
        self._clock: Callable[[], Instant] = parts.clock
        self._budgets: dict[str, RetryBudget] = {}
        self._running: set[RequestRunner] = set()
        self._one_ended = asyncio.Event()
        # Distinguishes attempts of this process from those of an earlier one
        # with the same name.
        self._process_id = secrets.token_hex(8)
        self._numbers = itertools.count(1)

    @property
    def running(self) -> int:
        """Number of requests in progress, with outcomes being stored."""
        return len(self._running)

    async def handle(self, received: ReceivedRequest) -> HttpAnswer:
        """Answer one request."""
        started = self._clock()
        request_id = self._next_id()
        shown_id = request_id
        request = received.request
        service = ""
        try:
            asked = read_headers(request)
            shown_id = asked.echo_id or request_id
            policy = self._admit(received, asked)
            service = policy.name
            plan = self._plan(request_id, request, asked, policy)
            reply = await self._run(plan, request, policy)
            answer = _answer(reply, shown_id)
        except SardinespoolError as error:
            answer = error_answer(
                error, "not-run", ((names.REQUEST_ID_HEADER, shown_id),)
            )
        self._count(service, answer, started)
        return answer

    async def drain(self) -> None:
        """Wait for the end of all requests in progress."""
        while self._running:
            self._one_ended.clear()
            await self._one_ended.wait()

    def _next_id(self) -> str:
        number = next(self._numbers)
        return f"{self._settings.name}-{self._process_id}-{number}"

    def _admit(
        self, received: ReceivedRequest, asked: CallerHeaders
    ) -> ServicePolicy:
        credential = self._credentials.require(received.request, "caller")
        if not self._state.ready:
            raise NotReadyError(self._state.reason)
        if received.too_large:
            raise BodyTooLargeError(
                "The body is over the limit.",
                limit_bytes=self._settings.body_limit_bytes,
            )
        policy = self._parts.router.router.table.policies.get(asked.service)
        if policy is None:
            raise ServiceNotFoundError(
                "The configuration has no such service.",
                service=asked.service,
                caller=credential.name,
            )
        return policy

    def _plan(
        self,
        request_id: str,
        request: HttpRequest,
        asked: CallerHeaders,
        policy: ServicePolicy,
    ) -> RequestPlan:
        if "\r" in asked.user or "\n" in asked.user:
            raise InvalidRequestError(
                f"{names.USER_HEADER} has a wrong value",
                allowed="printable characters",
            )
        return RequestPlan(
            # Always this entry's own: records tell attempts apart by it.
            request_id=request_id,
            service=policy.name,
            user=asked.user,
            deadline_unix_ms=request_deadline(
                asked.deadline_unix_ms,
                policy.timeout_ms or self._settings.default_timeout_ms,
                self._settings.longest_timeout_ms,
                self._clock(),
            ),
            idempotent=asked.idempotent,
            body_digest="" if asked.idempotent else body_digest(request),
            own_key=asked.own_key,
            forwarded=asked.forwarded,
        )

    async def _run(
        self, plan: RequestPlan, request: HttpRequest, policy: ServicePolicy
    ) -> effects.FlowReply:
        flow = RequestFlow(
            plan, self._settings.name, self._budget(policy), self._keys
        )
        runner = RequestRunner(flow, request, self._parts, self._ended)
        self._running.add(runner)
        runner.start()
        # The request goes on if its caller goes away, so that its outcome is
        # stored; so this waits without passing on a cancellation.
        return await asyncio.shield(runner.reply)

    def _ended(self, runner: RequestRunner) -> None:
        self._running.discard(runner)
        self._one_ended.set()

    def _budget(self, policy: ServicePolicy) -> RetryBudget:
        share = policy.retry_share
        if share is None:
            share = self._settings.retry_share
        budget = self._budgets.get(policy.name)
        if budget is None or budget.share != share:
            budget = self._budgets[policy.name] = RetryBudget(share)
        return budget

    def _count(
        self, service: str, answer: HttpAnswer, started: Instant
    ) -> None:
        metrics = self._parts.metrics
        outcome = answer.header(OUTCOME_HEADER) or ""
        metrics.requests.inc(service=service, outcome=outcome)
        if service:
            elapsed_ms = self._clock().boot_ms - started.boot_ms
            metrics.latency_ms.observe(
                elapsed_ms, service=service, outcome=outcome
            )


def _answer(reply: effects.FlowReply, request_id: str) -> HttpAnswer:
    common = [(names.REQUEST_ID_HEADER, request_id)]
    if reply.key:
        common.append((names.KEY_USED_HEADER, reply.key))
    match reply:
        case effects.ReplyAnswered(stored):
            return HttpAnswer(
                stored.status,
                (*stored.headers, *common, (OUTCOME_HEADER, "answered")),
                stored.body,
            )
        case effects.ReplyForwarded(stored):
            outcome = header_outcome(stored.headers)
            headers = names.answer_headers(stored.headers, "")
            return HttpAnswer(
                stored.status,
                (*headers, *common, (OUTCOME_HEADER, outcome)),
                stored.body,
            )
        case effects.ReplyNotRun(error):
            return error_answer(error, "not-run", tuple(common))
        case effects.ReplyUnknown(error):
            return error_answer(error, "unknown", tuple(common))
