"""Complete entry on the loopback interface, with in-memory groups."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import Any

import msgspec

from sardinespool.errors import error_from_code
from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.messages.capacity import Endpoint
from sardinespool.messages.capacity import EntrySync
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Refused
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.requests import AbandonRequest
from sardinespool.messages.requests import BeginRequest
from sardinespool.messages.requests import FinishRequest
from sardinespool.programs.entry.entry_process import drain_and_close
from sardinespool.programs.entry.groups import Groups
from sardinespool.programs.entry.wiring import EntryComponents
from sardinespool.programs.entry.wiring import wire_entry
from sardinespool.requests.table import RequestTable
from sardinespool.settings.model import ClusterSettings
from sardinespool.settings.model import Credential
from sardinespool.settings.model import EntryMember
from sardinespool.settings.model import EntrySettings
from sardinespool.transport import system_clock
from testing.entry.test_http_server import connect
from testing.entry.test_http_server import free_address

DOMAINS = ("centro", "norte")
CREDENTIALS = (
    Credential(name="caller-1", roles=("caller",), token="caller"),
    Credential(name="worker-1", roles=("worker",), token="worker"),
    Credential(name="operator-1", roles=("operator",), token="operator"),
    Credential(name="approver-1", roles=("approver",), token="approver"),
)


class FakeGroup:
    """In-memory group: stores request records, else replies as prepared."""

    def __init__(self, endpoints: Sequence[Endpoint] = ()) -> None:
        self.endpoints = tuple(endpoints)
        self.table = RequestTable()
        self.reachable = True
        self.received: list[Request] = []
        self.replies: dict[type, Reply] = {}

    async def call(self, request: Request, deadline_unix_ms: int) -> Reply:
        if not self.reachable:
            raise GroupUnavailableError("no leader")
        self.received.append(request)
        reply = self._reply(request)
        if isinstance(reply, Refused):
            raise error_from_code(reply.code, reply.text, reply.details)
        return reply

    def of_type(self, kind: type) -> list[Any]:
        return [each for each in self.received if isinstance(each, kind)]

    def _reply(self, request: Request) -> Reply:
        now_unix_ms = system_clock.now().unix_ms
        match request:
            case EntrySync():
                return self._view(now_unix_ms)
            case BeginRequest():
                known = self.table.recorded_reply(request, now_unix_ms)
                return known or self.table.begin(request, now_unix_ms)
            case FinishRequest():
                return self.table.finish(request)
            case AbandonRequest():
                return self.table.abandon(request)
        return self.replies[type(request)]

    def _view(self, now_unix_ms: int) -> EntryView:
        services = {"services/seats": {"timeout_ms": 10_000}}
        return EntryView(
            unix_ms=now_unix_ms,
            group_incarnation="inc",
            version=3,
            configuration=Configuration(version=3, values=services),
            table_version=1,
            endpoints=self.endpoints,
        )


@dataclasses.dataclass
class Answer:
    """A parsed HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        return self.headers["sardinespool-outcome"]

    def json(self) -> Any:
        return msgspec.json.decode(self.body)


@dataclasses.dataclass
class Harness:
    """A running entry with its groups."""

    components: EntryComponents
    own_group: FakeGroup
    other_group: FakeGroup
    global_group: FakeGroup

    async def fetch(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        token: str = "caller",
        **headers: str,
    ) -> Answer:
        """Send a request; ``_`` in header names is sent as ``-``."""
        lines = [f"{method} {target} HTTP/1.1", "Connection: close"]
        lines.append(f"Content-Length: {len(body)}")
        if token:
            lines.append(f"Authorization: Bearer {token}")
        for name, value in headers.items():
            lines.append(f"{name.replace('_', '-')}: {value}")
        reader, writer = await connect(self.components.member.address)
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head, _, answer_body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        status_line, *header_lines = head.decode("latin1").split("\r\n")
        pairs = [line.split(": ", 1) for line in header_lines]
        return Answer(
            int(status_line.split()[1]),
            {name.lower(): value for name, value in pairs},
            answer_body,
        )

    async def stop(self) -> None:
        """Shut down gracefully, as after SIGTERM."""
        self.components.state.stopping = True
        idle = asyncio.create_task(asyncio.Event().wait())
        await drain_and_close(self.components, idle)  # type: ignore[arg-type]


@contextlib.asynccontextmanager
async def running_entry(
    endpoint_addresses: Sequence[str] = (),
    other_entry: str = "",
    sync: bool = True,
) -> AsyncIterator[Harness]:
    """Run an entry, synchronised once unless `sync` is False."""
    endpoints = [
        Endpoint(
            worker_id=f"w{number}",
            incarnation=1,
            address=address,
            services=("seats",),
            slots=4,
            connections=8,
            leaving=False,
        )
        for number, address in enumerate(endpoint_addresses)
    ]
    entries = [
        EntryMember(name="e1", failure_domain="centro", address=free_address())
    ]
    if other_entry:
        entries.append(
            EntryMember(name="e2", failure_domain="norte", address=other_entry)
        )
    settings = EntrySettings(
        cluster=ClusterSettings(
            failure_domains=DOMAINS,
            stores=(),
            entries=tuple(entries),
            cluster_token="cluster",
            credentials=CREDENTIALS,
        ),
        name="e1",
        body_limit_bytes=10_000,
    )
    own_group, other_group, global_group = (
        FakeGroup(endpoints),
        FakeGroup(),
        FakeGroup(),
    )
    groups = Groups(
        {"centro": own_group, "norte": other_group, "global": global_group}
    )
    components = wire_entry(settings, groups, system_clock.now)
    tasks = [
        asyncio.create_task(components.router.run()),
        asyncio.create_task(components.router.run_ticks()),
    ]
    components.listener.start()
    if sync:
        await components.sync.sync()
    harness = Harness(components, own_group, other_group, global_group)
    try:
        yield harness
        if not components.state.stopping:
            await harness.stop()
    finally:
        for task in tasks:
            task.cancel()
