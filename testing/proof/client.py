"""Calls to the leader of a group, as the daemons' `GroupClient` makes them."""

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
ROUND_DELAY_MS = 50


@dataclasses.dataclass
class _Call:
    host: Host
    group: str
    request: Any
    receive: Callable[[Any], None]
    late_replies: bool
    starts: int
    attempt: int = 0
    done: bool = False


class Clients:
    """Clients of all hosts; each resends until its deadline."""

    def __init__(self, engine: Engine, network: Network) -> None:
        self._engine = engine
        self._network = network
        self.members: dict[str, list[Any]] = {}
        self._leaders: dict[tuple[str, str], int] = {}

    def call(
        self,
        host: Host,
        group: str,
        request: Any,
        deadline_unix_ms: int,
        receive: Callable[[Any], None],
        late_replies: bool = False,
    ) -> None:
        """Call a group; `receive` takes the reply or a typed error.

        `late_replies` passes on every reply that arrives, duplicates and
        late ones too, which is stricter than one connection would be.
        """
        call = _Call(host, group, request, receive, late_replies, host.starts)
        late = replication.GroupUnavailableError("no leader answered in time")
        host.at_unix(deadline_unix_ms, lambda: self._end(call, late))
        self._attempt(call)

    def _attempt(self, call: _Call) -> None:
        if call.done:
            return
        call.attempt += 1
        attempt, host = call.attempt, call.host
        members = self.members[call.group]
        number = self._leaders.get((host.name, call.group), 0)
        member = members[number % len(members)]

        def answer(reply: Any) -> None:
            self._network.send(
                member,
                host,
                lambda: self._receive(call, attempt, reply),
                reply=True,
            )

        self._network.send(
            host,
            member,
            lambda: member.serve(call.group, call.request, answer),
        )
        self._engine.at(
            ATTEMPT_TIMEOUT_MS, host, lambda: self._failed(call, attempt)
        )

    def _receive(self, call: _Call, attempt: int, reply: Any) -> None:
        if call.host.starts != call.starts:
            return
        if isinstance(reply, Refused):
            reply = error_from_code(reply.code, reply.text, reply.details)
        if isinstance(reply, replication.ReplicationError):
            self._failed(call, attempt, str(reply.details.get("leader", "")))
        elif call.attempt == attempt or call.late_replies:
            self._end(call, reply)

    def _failed(self, call: _Call, attempt: int, hint: str = "") -> None:
        if call.done or call.attempt != attempt:
            return
        names = [member.name for member in self.members[call.group]]
        key = (call.host.name, call.group)
        present = self._leaders.get(key, 0) % len(names)
        self._leaders[key] = present + 1
        if hint in names and names.index(hint) != present:
            self._leaders[key] = names.index(hint)
        call.attempt += 1
        delay_ms = ROUND_DELAY_MS if call.attempt % len(names) == 0 else 1
        self._engine.at(delay_ms, call.host, lambda: self._attempt(call))

    def _end(self, call: _Call, reply: Any) -> None:
        late = call.late_replies and not isinstance(reply, Exception)
        if not call.done or late:
            call.done = True
            call.receive(reply)
