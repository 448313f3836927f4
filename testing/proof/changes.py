"""Changes of functions of the real code, for the mutations.

Each takes the original function and returns what replaces it.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec

from sardinespool.messages.commands import AdoptConfiguration
from sardinespool.replication import effects

Change = Callable[[Any], Any]


def replaced(made: Any, **values: Any) -> Any:
    return msgspec.structs.replace(made, **values)


def instead(value: Any) -> Change:
    return lambda original: value


def without_code(code: str) -> Change:
    def change(check: Any) -> Any:
        return lambda *values: check(*values).replace(code, "")

    return change


def with_result(**values: Any) -> Change:
    return lambda make: lambda *given: replaced(make(*given), **values)


def later(extra_ms: int) -> Change:
    return lambda due: (
        lambda s, items, now_ms: due(s, items, now_ms + extra_ms)
    )


def adopt(self: Any, configuration: Any) -> None:
    self.configuration = configuration


def forget_leases(self: Any, now_unix_ms: int) -> None:
    self._deadlines = {}
    self._losing = {}
    self._default_deadline_unix_ms = 0


def any_digest(reply: Any) -> Any:
    def changed(self: Any, request: Any, now_unix_ms: int) -> Any:
        record = self.records.get(request.key)
        digest = record.body_digest if record else request.body_digest
        return reply(self, replaced(request, body_digest=digest), now_unix_ms)

    return changed


def never_ran(read: Any) -> Any:
    def changed(*values: Any) -> Any:
        failure = read(*values)
        if failure is None:
            return None
        return dataclasses.replace(failure, may_have_run=False)

    return changed


def adopt_any(due: Any) -> Any:
    def changed(machine: Any, reply: Any) -> Any:
        commands = due(machine, reply)
        if reply.configuration is not None:
            adopt = AdoptConfiguration(configuration=reply.configuration)
            commands.insert(0, adopt)
        return commands

    return changed


def without_sync(execute: Any) -> Any:
    durable = effects.Persist | effects.PersistSnapshot
    return lambda self, batch: execute(
        self, [effect for effect in batch if not isinstance(effect, durable)]
    )
