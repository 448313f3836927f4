"""State dumps."""

import dataclasses
import enum
from typing import Any

import msgspec
import pytest

from sardinespool.messages.dump import StateDump
from sardinespool.observability.state_dump import dump_json
from sardinespool.observability.state_dump import readable
from sardinespool.settings.model import Credential


class Role(enum.Enum):
    """A state of a member."""

    LEADER = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Inner:
    """A part with a key of two fields."""

    role: Role
    members: frozenset[str]
    votes: dict[tuple[str, int], bytes]


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (
            Inner(Role.LEADER, frozenset({"b", "a"}), {("t", 1): b"\xff"}),
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
    """Guards against tokens in dumps and against a dump that fails."""
    assert readable(value) == expected
    assert msgspec.json.decode(dump_json(value)) == expected


def test_cycle_ends() -> None:
    """Guards against a dump that never returns."""
    cycle: list[Any] = []
    cycle.append(cycle)
    assert b"too deep" in dump_json(cycle)
