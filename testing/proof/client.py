"""Simulated group client that retries like the daemons' `GroupClient`."""

import dataclasses
from collections.abc import Callable
from typing import Any

from sardinespool.errors import error_from_code
from sardinespool.errors import replication
from sardinespool.messages.commands import Refused
from testing.proof.engine import Engine
from testing.proof.engine import Host
from testing.proof.engine import Network

ATTEMPT_TIMEOUT_MS = 1_500
RETRY_ROUND_DELAY_MS = 50


@dataclasses.dataclass
class _Call:
    host: Host
    group: str
    request: Any
    on_reply: Callable[[Any], None]
    accept_late_replies: bool
    start_count: int
    attempt: int = 0
    done: bool = False


class GroupClients:
    """Group clients of all hosts; each call is resent until its deadline."""

    def __init__(self, engine: Engine, network: Network) -> None:
        self._engine = engine
        self._network = network
        self.members: dict[str, list[Any]] = {}
        self._leader_indexes: dict[tuple[str, str], int] = {}

    def call(
        self,
        host: Host,
        group: str,
        request: Any,
        deadline_unix_ms: int,
        on_reply: Callable[[Any], None],
        accept_late_replies: bool = False,
    ) -> None:
        """Call a group; `on_reply` takes the reply or a typed error.

        With `accept_late_replies`, `on_reply` also gets duplicate and late
        replies. This is stricter than a single connection would be.
        """
        call = _Call(
            host,
            group,
            request,
            on_reply,
            accept_late_replies,
            host.start_count,
        )
        timeout_error = replication.GroupUnavailableError(
            "no leader answered in time"
        )
        host.call_at_unix(
            deadline_unix_ms, lambda: self._complete(call, timeout_error)
        )
        self._send_attempt(call)

    def _send_attempt(self, call: _Call) -> None:
        if call.done:
            return
        call.attempt += 1
        attempt, host = call.attempt, call.host
        members = self.members[call.group]
        index = self._leader_indexes.get((host.name, call.group), 0)
        member = members[index % len(members)]

        def send_reply(reply: Any) -> None:
            self._network.send(
                member,
                host,
                lambda: self._handle_reply(call, attempt, reply),
                reply=True,
            )

        self._network.send(
            host,
            member,
            lambda: member.serve(call.group, call.request, send_reply),
        )
        self._engine.call_later(
            ATTEMPT_TIMEOUT_MS, host, lambda: self._retry(call, attempt)
        )

    def _handle_reply(self, call: _Call, attempt: int, reply: Any) -> None:
        if call.host.start_count != call.start_count:
            return
        if isinstance(reply, Refused):
            reply = error_from_code(reply.code, reply.text, reply.details)
        if isinstance(reply, replication.ReplicationError):
            self._retry(call, attempt, str(reply.details.get("leader", "")))
        elif call.attempt == attempt or call.accept_late_replies:
            self._complete(call, reply)

    def _retry(self, call: _Call, attempt: int, leader_hint: str = "") -> None:
        if call.done or call.attempt != attempt:
            return
        names = [member.name for member in self.members[call.group]]
        key = (call.host.name, call.group)
        current = self._leader_indexes.get(key, 0) % len(names)
        self._leader_indexes[key] = current + 1
        if leader_hint in names and names.index(leader_hint) != current:
            self._leader_indexes[key] = names.index(leader_hint)
        call.attempt += 1
        delay_ms = (
            RETRY_ROUND_DELAY_MS if call.attempt % len(names) == 0 else 1
        )
        self._engine.call_later(
            delay_ms, call.host, lambda: self._send_attempt(call)
        )

    def _complete(self, call: _Call, reply: Any) -> None:
        is_late = call.accept_late_replies and not isinstance(reply, Exception)
        if not call.done or is_late:
            call.done = True
            call.on_reply(reply)
