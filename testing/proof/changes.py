"""Replacements of production functions for the mutation tests.

Each replacement takes the original function and returns the mutated one.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec

from sardinespool.messages.commands import AdoptConfiguration
from sardinespool.replication import effects

Replacement = Callable[[Any], Any]


def copy_with(struct: Any, **values: Any) -> Any:
    return msgspec.structs.replace(struct, **values)


def fixed(value: Any) -> Replacement:
    return lambda original: value


def remove_code(code: str) -> Replacement:
    def replacement(original: Any) -> Any:
        return lambda *args: original(*args).replace(code, "")

    return replacement


def override_result(**values: Any) -> Replacement:
    return lambda original: lambda *args: copy_with(original(*args), **values)


def shift_now(extra_ms: int) -> Replacement:
    return lambda original: (
        lambda s, items, now_ms: original(s, items, now_ms + extra_ms)
    )


def adopt_unchecked(self: Any, configuration: Any) -> None:
    self.configuration = configuration


def forget_leases(self: Any, now_unix_ms: int) -> None:
    self._deadlines = {}
    self._proposed_losses = {}
    self._default_deadline_unix_ms = 0


def ignore_digest(original: Any) -> Any:
    def replacement(self: Any, request: Any, now_unix_ms: int) -> Any:
        record = self.records.get(request.key)
        digest = record.body_digest if record else request.body_digest
        return original(
            self, copy_with(request, body_digest=digest), now_unix_ms
        )

    return replacement


def report_not_run(original: Any) -> Any:
    def replacement(*args: Any) -> Any:
        failure = original(*args)
        if failure is None:
            return None
        return dataclasses.replace(failure, may_have_run=False)

    return replacement


def adopt_any_version(original: Any) -> Any:
    def replacement(machine: Any, reply: Any) -> Any:
        commands = original(machine, reply)
        if reply.configuration is not None:
            command = AdoptConfiguration(configuration=reply.configuration)
            commands.insert(0, command)
        return commands

    return replacement


def skip_sync(original: Any) -> Any:
    durable = effects.Persist | effects.PersistSnapshot
    return lambda self, batch: original(
        self, [effect for effect in batch if not isinstance(effect, durable)]
    )
