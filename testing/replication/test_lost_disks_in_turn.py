"""Disks that are lost one after the other, each `CATCH_UP_MS` apart."""

import pathlib
import random

import pytest

from testing.replication.durable_cluster import DurableCluster

CATCH_UP_MS = 4_000
"""Time after which a member that came back counts as sound again."""
START_MS = 700
"""Time from the start of a process to its first message."""
RECOVERY_MS = 12_000


def lose_disk(cluster: DurableCluster, name: str) -> None:
    """Let a member return with an empty disk and start."""
    cluster.lose_disk(name)
    cluster.run(START_MS)
    cluster.start(name)


def leader_of(cluster: DurableCluster) -> str:
    """Return the name of the leader; run until there is one."""
    end_ms = cluster.now_ms + RECOVERY_MS
    while not cluster.leaders():
        assert cluster.now_ms < end_ms, "no leader"
        cluster.run(10)
    return cluster.leaders()[0].name


@pytest.mark.parametrize("kill_ms", [None, 300, 1_000, 1_600, 2_000, 2_600])
@pytest.mark.parametrize("size", [3, 4, 5])
@pytest.mark.parametrize("seed", range(2))
def test_group_survives_disks_lost_in_turn(
    seed: int,
    size: int,
    kill_ms: int | None,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two lost identities among the voters at one moment.

    The leader loses its disk; the next leader is killed meanwhile and keeps
    its own.
    """
    cluster = DurableCluster(size, seed, tmp_path, monkeypatch)
    chance = random.Random(seed)
    for _ in range(3):
        cluster.submit_many(20)
        lost = leader_of(cluster)
        lose_disk(cluster, lost)
        waited_ms = START_MS
        if kill_ms is not None:
            cluster.run(max(0, kill_ms - START_MS))
            killed = leader_of(cluster)
            cluster.crash(killed)
            cluster.run(START_MS)
            cluster.start(killed)
            waited_ms = max(START_MS, kill_ms) + START_MS
        cluster.run(CATCH_UP_MS - waited_ms + chance.randrange(200))
        others = [name for name in cluster.names if name != lost]
        cluster.lose_disk(chance.choice(others))
        cluster.run(START_MS)
        for name in cluster.names:
            if cluster.nodes[name].replica is None:
                cluster.start(name)
        cluster.run_until_voters(set(cluster.names), RECOVERY_MS)
        cluster.run(CATCH_UP_MS)
    (leader,) = cluster.leaders()
    cluster.assert_acknowledged_state(cluster.machines[leader.name])
