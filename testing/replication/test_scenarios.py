"""Single faults whose outcome is known, for groups in memory."""

import pytest

from sardinespool.replication.events import TransferLeadership
from testing.replication.cluster import Cluster
from testing.replication.cluster import Node

SEEDS = range(4)


def whole_cluster(size: int, seed: int) -> Cluster:
    cluster = Cluster(size, seed)
    cluster.settle(10_000)
    return cluster


def the_leader(cluster: Cluster) -> Node:
    (leader,) = cluster.leaders()
    return leader


def followers(cluster: Cluster) -> list[Node]:
    leader = the_leader(cluster)
    return [node for node in cluster.nodes.values() if node is not leader]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("restarting", [False, True])
def test_lease_survives_a_follower_that_hears_nothing(
    seed: int, restarting: bool
) -> None:
    """Guards against a vote while the leader's lease is valid.

    The voter may restart between its acknowledgement and the vote.
    """
    cluster = whole_cluster(3, seed)
    leader = the_leader(cluster)
    voter, deaf = followers(cluster)
    cluster.network.cuts.add((leader.name, deaf.name))
    for _ in range(60):
        if restarting:
            cluster.crash(voter.name)
            cluster.start(voter.name)
        cluster.run(100)
        assert the_leader(cluster) is leader


@pytest.mark.parametrize("size", [2, 3, 5])
@pytest.mark.parametrize("freeze_ms", [950, 3000])
def test_frozen_leader_has_no_lease(size: int, freeze_ms: int) -> None:
    """Guards against a leader that acts after a freeze past its lease."""
    cluster = whole_cluster(size, 1)
    leader = the_leader(cluster)
    leader.frozen_until_ms = cluster.now_ms + freeze_ms
    cluster.now_ms += freeze_ms
    assert cluster.leaders() == []
    cluster.settle(10_000)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("pause_ms", [0, 10, 200, 2000])
def test_second_disk_lost_right_after_repair(seed: int, pause_ms: int) -> None:
    """Guards against a repaired voter that lacks committed entries."""
    cluster = whole_cluster(3, seed)
    for name in ("c", "b", "a"):
        cluster.propose((b"kept by two",))
        cluster.run(20)
        cluster.lose_disk(name)
        cluster.run(pause_ms)
        cluster.start(name)
        while not cluster.is_whole():
            cluster.run(10)
            assert cluster.now_ms < 100_000
    cluster.settle(10_000)


@pytest.mark.parametrize("seed", SEEDS)
def test_learner_loses_its_disk_during_the_repair(seed: int) -> None:
    """Guards against a repair that waits for an identity that is gone."""
    cluster = whole_cluster(3, seed)
    name = followers(cluster)[0].name
    for pause_ms in (2700, 2900, 3100):
        cluster.lose_disk(name)
        cluster.start(name)
        cluster.run(pause_ms)
    cluster.settle(20_000)


@pytest.mark.parametrize("lost", ["a", "b"])
def test_pair_with_a_lost_disk_waits(lost: str) -> None:
    """Guards against a lone survivor that decides, and a second group."""
    cluster = whole_cluster(2, 1)
    last = max(cluster.committed)
    cluster.lose_disk(lost)
    cluster.run(2500)
    cluster.start(lost)
    cluster.run(10_000)
    assert cluster.leaders() == []
    assert max(cluster.committed) == last
    replica = cluster.nodes[lost].replica
    assert replica is not None
    assert not replica.status().formed


@pytest.mark.parametrize("size", [2, 3, 5])
def test_no_group_forms_while_a_peer_is_silent(size: int) -> None:
    """Guards against a second group beside a member that is down."""
    cluster = Cluster(size, 1)
    cluster.crash(cluster.names[-1])
    cluster.run(10_000)
    assert cluster.committed == {}
    cluster.start(cluster.names[-1])
    cluster.settle(10_000)


def test_initial_member_that_missed_the_formation_learns_it() -> None:
    """Guards against a group that can't reach its quorum after a crash."""
    cluster = Cluster(3, 1)
    while not cluster.committed:
        cluster.step()
    for name in ("b", "c"):
        cluster.network.cuts.add(("a", name))
    cluster.run(1000)
    cluster.network.cuts.clear()
    cluster.settle(10_000)


@pytest.mark.parametrize("size", [2, 3, 5])
def test_transfer_moves_leadership_at_once(size: int) -> None:
    """Guards against a graceful stop that costs an election timeout."""
    cluster = whole_cluster(size, 1)
    leader = the_leader(cluster)
    cluster.handle(leader, TransferLeadership())
    cluster.run(100)
    assert the_leader(cluster) is not leader


@pytest.mark.parametrize("size", [3, 5])
def test_lagging_member_gets_a_snapshot(size: int) -> None:
    """Guards against a member that waits for truncated entries."""
    cluster = whole_cluster(size, 1)
    lagging = followers(cluster)[0]
    cluster.crash(lagging.name)
    for number in range(30):
        cluster.propose((str(number).encode(),) * 3)
        cluster.run(20)
    cluster.start(lagging.name)
    cluster.run(3000)
    assert lagging.disk.snapshot is not None
    assert lagging.disk.snapshot.index > 40
    cluster.settle(10_000)


def test_single_member_acts_at_once_after_a_restart() -> None:
    """Guards against an election timeout where nobody else can lead."""
    cluster = whole_cluster(1, 1)
    cluster.crash("a")
    cluster.start("a")
    cluster.run(20)
    assert the_leader(cluster).applied == max(cluster.committed)
