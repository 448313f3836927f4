"""Tables of the decisions on memory, connections and deadlines."""

import pytest

from sardinespool.transport.connection_limits import Connection
from sardinespool.transport.connection_limits import ConnectionClass
from sardinespool.transport.connection_limits import ConnectionLimits
from sardinespool.transport.connection_limits import ConnectionState
from sardinespool.transport.guard_settings import BYTE_SHARES
from sardinespool.transport.guard_settings import CONNECTION_SHARES
from sardinespool.transport.receive_budget import ReceiveBudget
from sardinespool.transport.request_deadlines import RequestDeadlines

STATUS, CALLER, CONTROL, PEER = ConnectionClass
IDLE, RECEIVING, RUNNING, ANSWERING, DRAINING = ConnectionState
Row = tuple[ConnectionClass, str, ConnectionState, int, int]
"""Class, address, state, time of the last progress, held bytes."""


def _connections(rows: list[Row]) -> list[Connection]:
    return [
        Connection(kind, address, progress, state, progress, held, held)
        for kind, address, state, progress, held in rows
    ]


@pytest.mark.parametrize(
    ("rows", "receiver", "victims"),
    [
        pytest.param([(CALLER, "a", RECEIVING, 1, 50)], 0, [], id="room"),
        pytest.param(
            [(CALLER, "a", RECEIVING, 1, 30), (CALLER, "b", RECEIVING, 2, 30)],
            1,
            [0],
            id="least progress first",
        ),
        pytest.param(
            [(CALLER, "a", RECEIVING, 1, 1), (CALLER, "a", RECEIVING, 1, 55)],
            0,
            [1],
            id="a small request stays",
        ),
        pytest.param(
            [
                (CALLER, "a", RECEIVING, 9, 20),
                (CALLER, "a", RECEIVING, 8, 20),
                (CALLER, "b", RECEIVING, 1, 11),
            ],
            2,
            [1],
            id="address with the most bytes first",
        ),
        pytest.param(
            [
                (CALLER, "a", RECEIVING, 9, 40),
                (STATUS, "s", RECEIVING, 5, 20),
            ],
            0,
            [0],
            id="the heaviest address over its share first",
        ),
        pytest.param(
            [
                *((STATUS, f"s{i}", RECEIVING, i, 5) for i in range(6)),
                (CALLER, "a", RECEIVING, 5, 15),
            ],
            0,
            [0, 1],
            id="a higher class makes no room in a share",
        ),
        pytest.param(
            [
                (CONTROL, "w", RECEIVING, 5, 20),
                (PEER, "p", RECEIVING, 1, 85),
            ],
            0,
            [1],
            id="an address over its share loses its class",
        ),
        pytest.param(
            [(CALLER, "a", RUNNING, 1, 40), (CALLER, "b", RECEIVING, 2, 20)],
            1,
            [1],
            id="a running request is completed",
        ),
        pytest.param(
            [(CONTROL, "w", RECEIVING, 1, 70), (CALLER, "a", RUNNING, 2, 5)],
            1,
            [],
            id="the reserve is not the callers'",
        ),
        pytest.param(
            [(CALLER, "a", ANSWERING, 1, 60)], 0, [], id="one large answer"
        ),
        pytest.param(
            [(CALLER, "a", ANSWERING, 1, 30), (CALLER, "b", ANSWERING, 2, 30)],
            1,
            [0],
            id="answers that are not read",
        ),
        pytest.param(
            [(PEER, "p", IDLE, 1, 90), (PEER, "q", RECEIVING, 2, 20)],
            1,
            [0],
            id="calls and replies of a link",
        ),
    ],
)
def test_budget(rows: list[Row], receiver: int, victims: list[int]) -> None:
    """Guards against memory without bound, and against the wrong victim."""
    connections = _connections(rows)
    budget = ReceiveBudget(100, BYTE_SHARES)
    for connection in connections:
        held_bytes, connection.held_bytes = connection.held_bytes, 0
        budget.change(connection, held_bytes)
    found = budget.victims_for(connections[receiver], connections)
    assert found == [connections[victim] for victim in victims]


def test_budget_keeps_count() -> None:
    """Guards against bytes that stay counted after their connection."""
    budget = ReceiveBudget(100, BYTE_SHARES)
    connection = Connection(CALLER, "a", 0)
    assert not budget.change(connection, 25)
    assert budget.change(connection, 1)
    assert not budget.change(connection, -1)
    budget.release(connection)
    assert budget.held_bytes == connection.held_bytes == 0


@pytest.mark.parametrize(
    ("rows", "newcomer", "victims"),
    [
        pytest.param([], (CALLER, "n"), [], id="room"),
        pytest.param(
            [(CALLER, "a", IDLE, i, 0) for i in range(3)],
            (CALLER, "n"),
            [0],
            id="the longest idle first",
        ),
        pytest.param(
            [
                (CALLER, "a", RECEIVING, 0, 0),
                (CALLER, "a", IDLE, 5, 0),
                (CALLER, "a", DRAINING, 9, 0),
            ],
            (CALLER, "n"),
            [2],
            id="draining, then idle, then receiving",
        ),
        pytest.param(
            [(CALLER, "a", RUNNING, i, 0) for i in range(3)],
            (CALLER, "n"),
            None,
            id="nothing to close",
        ),
        pytest.param(
            [(CALLER, "a", RUNNING, i, 0) for i in range(3)],
            (PEER, "n"),
            [],
            id="the reserve is not the callers'",
        ),
        pytest.param(
            [
                (PEER, "p", IDLE, 0, 0),
                (PEER, "q", IDLE, 0, 0),
                (CONTROL, "c", RECEIVING, 9, 0),
                (STATUS, "s", RUNNING, 0, 0),
            ],
            (CONTROL, "n"),
            [2],
            id="a peer stays",
        ),
        pytest.param(
            [(PEER, "p", IDLE, 4 - i, 0) for i in range(4)],
            (CALLER, "n"),
            [3],
            id="an address over its share loses its class",
        ),
        pytest.param(
            [
                *((PEER, "p", IDLE, i, 0) for i in range(2)),
                *((STATUS, "s", IDLE, 5 - i, 0) for i in range(2)),
            ],
            (STATUS, "n"),
            [3],
            id="a higher class makes no room in a share",
        ),
    ],
)
def test_connections(
    rows: list[Row],
    newcomer: tuple[ConnectionClass, str],
    victims: list[int] | None,
) -> None:
    """Guards against descriptors without bound, and the wrong victim."""
    limits = ConnectionLimits(4, CONNECTION_SHARES)
    connections = _connections(rows)
    for connection in connections:
        limits.add(connection)
    added = Connection(*newcomer, since_ms=10)
    expected = (
        [added]
        if victims is None
        else [connections[victim] for victim in victims]
    )
    assert limits.victims_for(added) == expected


def test_other_descriptors_and_ends() -> None:
    """Guards against connections that take the descriptors of others."""
    limits = ConnectionLimits(4, CONNECTION_SHARES)
    connection = Connection(CONTROL, "a", 0)
    limits.add(connection)
    limits.promote(connection, PEER)
    newcomer = Connection(PEER, "b", 0)
    assert limits.victims_for(newcomer) == []
    limits.set_limit(1)
    assert limits.victims_for(newcomer) == [connection]
    status = Connection(STATUS, "s", 0, RECEIVING)
    limits.add(status)
    # Only idle connections are closed when the limit shrinks.
    assert limits.surplus() == [connection]
    limits.remove(status)
    for _ in range(2):
        limits.remove(connection)
    assert limits.count == 0
    assert limits.victims_for(newcomer) == []


@pytest.mark.parametrize(
    ("state", "elapsed_ms", "size_bytes", "overdue"),
    [
        (IDLE, 20_000, 0, False),
        (IDLE, 20_001, 0, True),
        (RECEIVING, 10_000, 0, False),
        (RECEIVING, 10_100, 10, True),
        # 4 MiB and 262,144 bytes at 2 Mbit/s, the latter among 500 callers.
        (RECEIVING, 17_000, 4 << 20, False),
        (RECEIVING, 59_000, 59 * 500, False),
        (RECEIVING, 60_001, 4 << 20, True),
        (RUNNING, 1_000_000, 0, False),
        (ANSWERING, 10_000, 1, False),
        (ANSWERING, 10_100, 10, True),
        (ANSWERING, 100_000, 4 << 20, False),
        (DRAINING, 2_000, 0, False),
        (DRAINING, 2_001, 0, True),
    ],
)
def test_deadlines(
    state: ConnectionState, elapsed_ms: int, size_bytes: int, overdue: bool
) -> None:
    """Guards against connections that are kept alive byte by byte."""
    connection = Connection(CALLER, "a", 0, state, 0, size_bytes, size_bytes)
    deadlines = RequestDeadlines()
    assert deadlines.is_overdue(connection, elapsed_ms, 20_000) == overdue
