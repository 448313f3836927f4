"""Process that runs on a front machine."""

import asyncio
import dataclasses

from sardinespool.errors import SardinespoolError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.manifest import MemberList
from sardinespool.messages.manifest import ReadMembers
from sardinespool.observability.logs import get_logger
from sardinespool.observability.metrics import Metrics
from sardinespool.observability.status_server import StatusServer
from sardinespool.observability.tracebacks import format_current_exception
from sardinespool.platform.caller_handler import CallerHandler
from sardinespool.platform.caller_handler import CallerMetrics
from sardinespool.platform.fault_barrier import FaultBarrier
from sardinespool.platform.job_codec import JOB_BODY_LIMIT_BYTES
from sardinespool.platform.responses import json_response
from sardinespool.platform.settings import PlatformSettings
from sardinespool.programs.controller.settings import (
    cluster_settings_from_token,
)
from sardinespool.programs.controller.settings import CONTROL_GROUP
from sardinespool.programs.controller.timely_commands import JobCommand
from sardinespool.programs.controller.timely_commands import TimelyCommands
from sardinespool.programs.controller.timely_orders import WaitingCaller
from sardinespool.programs.guard_metrics import GuardMetrics
from sardinespool.programs.status_listener import status_listener
from sardinespool.transport import system_clock
from sardinespool.transport.arrivals import LoopWatch
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.connector import Connector
from sardinespool.transport.group_client import GroupClient
from sardinespool.transport.http_messages import HttpResponse
from sardinespool.transport.http_server import HttpListener
from sardinespool.transport.http_server import ReceivedRequest
from sardinespool.transport.http_server import ServerLimits
from sardinespool.transport.listener_guard import ListenerGuard

READINESS_BODY_LIMIT_BYTES = 4_096
RECEIVE_BUFFER_BYTES = 16_384
"""Fills a link of 2 Mbit/s with a round trip of 60 ms; callers are closer."""
PROBE_INTERVAL_MS = 700
"""Pause between probes of the leader; readiness is polled every second."""
REPLY_MAX_AGE_MS = 2_200
"""Age at which the leader's last reply expires; covers three probes."""
PROBE_TIMEOUT_MS = 700
UNREADY_DELAY_MS = 2_300
"""The load balancer removes a machine after two failed probes, 1 s apart."""
LINGER_S = 1.0
LAST_RESPONSES_S = 0.25
"""Time to send the responses to calls that ended at the shutdown deadline."""

LEADER_SEARCH_SHARE = 0.4
"""Share of a caller's time in which a leader is looked for. After that, the
caller is told to come back, while it still has time to."""

_LOG = get_logger("front")


class FrontProcess:
    """Forwards callers' requests to the leader of the control group.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the process.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._metrics = Metrics("front", settings.node)
        self._guard_metrics = GuardMetrics(self._metrics)
        self._guard = ListenerGuard(
            settings.limits.guard, self._guard_metrics.report
        )
        self._connector = Connector(
            cluster_settings_from_token(CONTROL_GROUP), "front", settings.node
        )
        self._client = GroupClient(
            CONTROL_GROUP,
            {peer: peer for peer in settings.peers},
            self._connector,
            names_are_addresses=True,
        )
        self._commands = TimelyCommands(self._client, system_clock.now)
        self._last_reply_boot_ms: int | None = None
        self._shutdown_deadline_boot_ms: int | None = None

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until `stopping` is set, then shut down gracefully."""
        watch = LoopWatch(system_clock.now)
        callers = HttpListener(
            self._settings.listen.callers,
            FaultBarrier(
                CallerHandler(
                    self.call_for_caller,
                    CallerMetrics(self._metrics),
                    self.send_command,
                ),
                _LOG,
            ),
            ServerLimits(
                JOB_BODY_LIMIT_BYTES, receive_buffer_bytes=RECEIVE_BUFFER_BYTES
            ),
            watch=watch,
            guard=self._guard,
        )
        status = StatusServer(
            status_listener(self._settings.status_address, self._guard),
            self._metrics,
            health=lambda: True,
            ready=lambda: self._is_ready,
            dump=lambda: {"leader": self._client.leader},
        )
        readiness = HttpListener(
            self._settings.listen.readiness,
            self._handle_readiness,
            ServerLimits(
                READINESS_BODY_LIMIT_BYTES,
                receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
                connection_class=ConnectionClass.CONTROL,
            ),
            guard=self._guard,
        )
        watch.start()
        callers.start()
        readiness.start()
        status.start()
        probe_task = asyncio.create_task(self._probe_leader())
        _LOG.info("started", node=self._settings.node)
        metrics_task = asyncio.create_task(
            self._guard_metrics.update(self._guard)
        )
        stop_task = asyncio.create_task(stopping.wait())
        await asyncio.wait(
            [stop_task, probe_task], return_when=asyncio.FIRST_COMPLETED
        )
        if probe_task.done():
            # The task ends only by an exception, which this raises.
            await probe_task
        self.begin_shutdown()
        _LOG.info("stopping", node=self._settings.node)
        await asyncio.sleep(UNREADY_DELAY_MS / 1000)
        callers.close_after_responses()
        await callers.wait_for_connections(LINGER_S)
        await callers.stop(
            self._shutdown_remaining_ms / 1000 + LAST_RESPONSES_S
        )
        watch.stop()
        probe_task.cancel()
        metrics_task.cancel()
        await readiness.stop()
        await status.stop()
        await self._connector.close()
        _LOG.info("stopped", node=self._settings.node)

    def begin_shutdown(self) -> None:
        """Report "not ready", and end all calls before the grace ends."""
        self._shutdown_deadline_boot_ms = (
            system_clock.now().boot_ms + self._settings.shutdown_timeout_ms
        )

    async def call_for_caller(
        self, request: Request, timeout_ms: int
    ) -> Reply:
        """Call the group with a timeout that ends within the grace."""
        if self._shutdown_deadline_boot_ms is not None:
            timeout_ms = min(timeout_ms, self._shutdown_remaining_ms)
        now_unix_ms = system_clock.now().unix_ms
        return await self._client.call(
            request,
            now_unix_ms + timeout_ms,
            now_unix_ms + int(LEADER_SEARCH_SHARE * timeout_ms),
        )

    async def send_command(
        self, command: JobCommand, caller: WaitingCaller
    ) -> Reply:
        """Have a command carried out while its caller waits for it."""
        until_boot_ms = caller.until_boot_ms
        if self._shutdown_deadline_boot_ms is not None:
            until_boot_ms = min(until_boot_ms, self._shutdown_deadline_boot_ms)
        now_boot_ms = system_clock.now().boot_ms
        return await self._commands.send(
            command,
            dataclasses.replace(caller, until_boot_ms=until_boot_ms),
            now_boot_ms
            + int(LEADER_SEARCH_SHARE * (until_boot_ms - now_boot_ms)),
        )

    async def _call(self, request: Request, timeout_ms: int) -> Reply:
        deadline_unix_ms = system_clock.now().unix_ms + timeout_ms
        return await self._client.call(request, deadline_unix_ms)

    async def _probe_leader(self) -> None:
        has_manifest = False
        last_error_code = ""
        while True:
            try:
                reply = await self._call(ReadMembers(), PROBE_TIMEOUT_MS)
            except SardinespoolError as error:
                if error.code != last_error_code:
                    _LOG.warning("no leader", code=error.code, text=error.text)
                last_error_code = error.code
                has_manifest = False
            except Exception:
                # The calls in progress must not end with the probe.
                _LOG.error(
                    "unexpected error",
                    during="probe",
                    fault=format_current_exception(),
                )
                has_manifest = False
            else:
                last_error_code = ""
                self._last_reply_boot_ms = system_clock.now().boot_ms
                if isinstance(reply, MemberList):
                    self._client.add_members(reply.members)
                    if reply.ticket is not None:
                        self._commands.put_ticket(reply.ticket)
                    if not has_manifest:
                        _LOG.info(
                            "leader found",
                            leader=self._client.leader,
                            manifest_version=reply.manifest_version,
                        )
                    has_manifest = reply.manifest_version >= 0
            await asyncio.sleep(PROBE_INTERVAL_MS / 1000)

    @property
    def _shutdown_remaining_ms(self) -> int:
        deadline_boot_ms = self._shutdown_deadline_boot_ms
        assert deadline_boot_ms is not None
        return max(0, deadline_boot_ms - system_clock.now().boot_ms)

    @property
    def _is_ready(self) -> bool:
        now_boot_ms = system_clock.now().boot_ms
        return (
            self._shutdown_deadline_boot_ms is None
            and self._last_reply_boot_ms is not None
            and now_boot_ms - self._last_reply_boot_ms < REPLY_MAX_AGE_MS
        )

    async def _handle_readiness(
        self, received: ReceivedRequest
    ) -> HttpResponse:
        ready = self._is_ready
        return json_response(200 if ready else 503, {"ready": ready})
