"""All members lose power, and as many disks are lost as is tolerated."""

import contextlib
import itertools
import os
import pathlib
import random

import pytest

from sardinespool.replication.events import TransferLeadership
from testing.replication.durable_cluster import DurableCluster
from testing.storage.power_loss import PowerLossError

CATCH_UP_MS = 4_000
"""Time after which a member that came back counts as sound again."""
RECOVERY_MS = 12_000
SEEDS = range(int(os.environ.get("DURABILITY_SEEDS", "1")))

LAYOUTS = {
    "3-in-3": ("abc", 1, ("a", "b", "c")),
    "4-in-4": ("abcd", 1, ("a", "b", "c", "d")),
    "5-in-4": ("abcde", 1, ("ab", "c", "d", "e")),
    "5-in-5": ("abcde", 2, ("a", "b", "c", "d", "e")),
    "6-in-3": ("abcdef", 2, ("ab", "cd", "ef")),
    "6-in-5": ("abcdef", 1, ("ab", "c", "d", "e", "f")),
}
"""Members, number of disks that may be lost, and failure domains."""

EARLIER_EVENTS = (
    "none",
    "replaced",
    "wiped",
    "down",
    "joining",
    "transfer",
    "catching-up",
)


def may_lose(layout: str) -> list[set[str]]:
    """Return the sets of members that may lose their disks at once."""
    members, machines, domains = LAYOUTS[layout]
    return [
        *map(set, itertools.combinations(members, machines)),
        *map(set, domains),
    ]


def make_event(
    cluster: DurableCluster, event: str, chance: random.Random
) -> dict[str, str]:
    """Cause an event; return the addresses of replaced members."""
    name = chance.choice(cluster.names)
    match event:
        case "replaced":
            cluster.remove(name)
            cluster.add(name + "2")
            cluster.run(CATCH_UP_MS)
            return {name: name + "2"}
        case "wiped":
            cluster.lose_disk(name)
            cluster.run(chance.randrange(1_000))
            cluster.start(name)
            cluster.run(CATCH_UP_MS)
        case "down":
            cluster.crash(name)
            cluster.run(chance.randrange(6_000))
        case "joining":
            cluster.add("x")
            cluster.run(chance.randrange(1_500))
        case "transfer":
            for node in cluster.leaders():
                cluster.handle(node, TransferLeadership())
            cluster.run(chance.randrange(50))
        case "catching-up":
            cluster.crash(name)
            cluster.submit_many(40)
            cluster.start(name)
            cluster.run(chance.randrange(60))
        case _:
            pass
    return {}


def recover(cluster: DurableCluster, chance: random.Random) -> None:
    """Start all members and check that nothing acknowledged is missing."""
    for name in chance.sample(cluster.names, len(cluster.names)):
        cluster.run(chance.choice((0, 10, 300)))
        cluster.start(name)
    end_ms = cluster.now_ms + RECOVERY_MS
    while not cluster.leaders():
        assert cluster.now_ms < end_ms, "the group did not form again"
        cluster.run(100)
    (leader,) = cluster.leaders()
    cluster.assert_acknowledged_state(cluster.machines[leader.name])
    count = len(cluster.acknowledged)
    cluster.submit_many(8)
    cluster.run(500)
    assert len(cluster.acknowledged) > count


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("event", EARLIER_EVENTS)
@pytest.mark.parametrize("layout", LAYOUTS)
def test_lost_disks_and_power_lose_nothing_acknowledged(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    layout: str,
    event: str,
    seed: int,
) -> None:
    """Lost disks and a power loss of all members lose no acknowledgement.

    The group forms again without an operator and under the same formation.
    """
    chance = random.Random(f"{layout}/{event}/{seed}")
    cluster = DurableCluster(
        len(LAYOUTS[layout][0]),
        chance.randrange(1 << 30),
        tmp_path,
        monkeypatch,
    )
    cluster.submit_many(chance.randrange(4, 40))
    addresses = make_event(cluster, event, chance)
    count = len(cluster.acknowledged)
    lost = {
        addresses.get(name, name) for name in chance.choice(may_lose(layout))
    }
    end_ms = cluster.now_ms + 3_000
    while len(cluster.acknowledged) == count and cluster.now_ms < end_ms:
        cluster.submit_many(1)
    if chance.random() < 0.7:
        cluster.files.calls_until_power_loss = chance.randrange(30)
        with contextlib.suppress(PowerLossError):
            cluster.submit_many(chance.randrange(10))
    cluster.lose_power(lost)
    recover(cluster, chance)


@pytest.mark.parametrize("seed", SEEDS)
def test_voter_that_is_down_counts_when_disks_are_lost(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against five voters that are reduced to four.

    Of five, two may lose their disks while another, whose disk is intact, is
    down. Three disks are left then, a majority of five but not of four.
    """
    chance = random.Random(seed)
    cluster = DurableCluster(5, seed, tmp_path, monkeypatch)
    down, *others = chance.sample(cluster.names, 5)
    cluster.crash(down)
    cluster.run(5_000)
    cluster.submit_many(20)
    assert cluster.acknowledged
    cluster.lose_power(set(others[:2]))
    recover(cluster, chance)
