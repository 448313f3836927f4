"""Dispatch of calls and replication messages to the groups."""

import asyncio
from collections.abc import Mapping

from sardinespool.errors import SardinespoolError
from sardinespool.errors.replication import ProposalLostError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.errors.transport import NotReadyError
from sardinespool.groups.refusal import refusal_from_error
from sardinespool.messages import codec
from sardinespool.observability.logs import get_logger
from sardinespool.programs.store.fault_barrier import log_fault
from sardinespool.programs.store.group_runner import GroupRunner
from sardinespool.programs.store.store_metrics import StoreMetrics
from sardinespool.replication import messages as peer_messages
from sardinespool.transport import system_clock

UNKNOWN_REQUEST = "unknown"
"""Type of a request that can't be decoded."""

_LOG = get_logger("store")


class GroupEndpoint:
    """Passes incoming frames to the runner of their group.

    Parameters
    ----------
    runners : mapping of str to GroupRunner
        Runners by group name; groups may be added later.
    metrics : StoreMetrics
        Metrics of the process.
    stopping : asyncio.Event
        Set once the process starts to shut down.
    """

    def __init__(
        self,
        runners: Mapping[str, GroupRunner],
        metrics: StoreMetrics,
        stopping: asyncio.Event,
    ) -> None:
        self._runners = runners
        self._metrics = metrics
        self._stopping = stopping

    async def handle_call(
        self, group: str, body: bytes, deadline_unix_ms: int
    ) -> bytes:
        """Handle a call and return the encoded reply or refusal."""
        request_type = UNKNOWN_REQUEST
        started = system_clock.now()
        code = "ok"
        try:
            request = codec.decode_request(body)
            request_type = type(request).__name__
            reply = await self._runner_for_call(group).call(request)
        except SardinespoolError as error:
            code = error.code
            reply = refusal_from_error(error)
            if request_type == UNKNOWN_REQUEST:
                _LOG.warning(
                    "refused an invalid call", group=group, text=error.text
                )
        except Exception:
            log_fault(group, "call", request_type)
            fault = ProposalLostError("An unexpected error ended the call.")
            code = fault.code
            reply = refusal_from_error(fault)
        elapsed_ms = system_clock.now().boot_ms - started.boot_ms
        self._metrics.calls.inc(request=request_type, code=code)
        self._metrics.call_latency_ms.observe(elapsed_ms, request=request_type)
        return codec.encode(reply)

    def handle_replication_message(
        self, group: str, sender: str, body: bytes
    ) -> None:
        """Pass on a replication message; log and drop an invalid one."""
        runner = self._runners.get(group)
        if runner is None:
            return
        try:
            message = peer_messages.decode_peer_message(body)
        except SardinespoolError as error:
            _LOG.warning(
                "dropped an invalid replication message",
                group=group,
                sender=sender,
                code=error.code,
            )
            return
        runner.deliver(sender, message)

    def _runner_for_call(self, group: str) -> GroupRunner:
        runner = self._runners.get(group)
        if runner is None:
            raise InvalidMessageError(
                "The store is not a member of this group.", group=group
            )
        if self._stopping.is_set() and not runner.serving:
            raise NotReadyError("The store is stopping.")
        return runner
