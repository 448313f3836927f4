"""Tests of state dumps."""

import dataclasses
import enum
from typing import Any

import msgspec
import pytest

from sardinespool.messages.dump import StateDump
from sardinespool.observability.state_dump import dump_json
from sardinespool.observability.state_dump import to_json_values
from sardinespool.settings.model import Credential


class Role(enum.Enum):
    """Role of a member."""

    LEADER = 1


@dataclasses.dataclass(frozen=True, slots=True)
class MemberState:
    """State with an enum, a set and a mapping with tuple keys."""

    role: Role
    members: frozenset[str]
    votes: dict[tuple[str, int], bytes]


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (
            MemberState(
                Role.LEADER, frozenset({"b", "a"}), {("t", 1): b"\xff"}
            ),
            {
                "role": "LEADER",
                "members": ["a", "b"],
                "votes": {"t/1": "hex:ff"},
            },
        ),
        (
            Credential(name="ana", roles=("caller",), token="secret"),
            {"name": "ana", "roles": ["caller"], "token": "(redacted)"},
        ),
        ({"Authorization": "Bearer x"}, {"Authorization": "(redacted)"}),
        (
            StateDump(json=b'{"cluster_token":"x","a":[1]}'),
            {"cluster_token": "(redacted)", "a": [1]},
        ),
        (StateDump(json=b"not json"), "not json"),
        (object(), "(object)"),
    ],
)
def test_state_is_readable_without_secrets(value: Any, expected: Any) -> None:
    """Guards against secrets in dumps and against failing dumps."""
    assert to_json_values(value) == expected
    assert msgspec.json.decode(dump_json(value)) == expected


def test_cyclic_state_is_truncated() -> None:
    """Guards against infinite recursion."""
    cycle: list[Any] = []
    cycle.append(cycle)
    assert b"too deep" in dump_json(cycle)
