"""Single faults with a known outcome in simulated groups."""

import pytest

from sardinespool.replication.events import TransferLeadership
from testing.replication.cluster import Cluster
from testing.replication.cluster import Node

SEEDS = range(4)


def converged_cluster(size: int, seed: int) -> Cluster:
    cluster = Cluster(size, seed)
    cluster.run_until_converged(10_000)
    return cluster


def current_leader(cluster: Cluster) -> Node:
    (leader,) = cluster.leaders()
    return leader


def followers(cluster: Cluster) -> list[Node]:
    leader = current_leader(cluster)
    return [node for node in cluster.nodes.values() if node is not leader]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("restart_voter", [False, True])
def test_isolated_follower_does_not_interrupt_the_lease(
    seed: int, restart_voter: bool
) -> None:
    """No vote is granted while the leader's lease is valid.

    A follower that receives no heartbeats starts elections. The other voter
    must reject it, even if it restarts after acknowledging the leader.
    """
    cluster = converged_cluster(3, seed)
    leader = current_leader(cluster)
    voter, isolated = followers(cluster)
    cluster.network.blocked_links.add((leader.name, isolated.name))
    for _ in range(60):
        if restart_voter:
            cluster.crash(voter.name)
            cluster.start(voter.name)
        cluster.run(100)
        assert current_leader(cluster) is leader


@pytest.mark.parametrize("size", [2, 3, 5])
@pytest.mark.parametrize("freeze_ms", [950, 3000])
def test_suspended_leader_loses_its_lease(size: int, freeze_ms: int) -> None:
    """A leader suspended for longer than its lease doesn't act on it."""
    cluster = converged_cluster(size, 1)
    leader = current_leader(cluster)
    leader.frozen_until_ms = cluster.now_ms + freeze_ms
    cluster.now_ms += freeze_ms
    assert cluster.leaders() == []
    cluster.run_until_converged(10_000)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("pause_ms", [0, 10, 200, 2000])
def test_disk_loss_right_after_previous_member_rejoined(
    seed: int, pause_ms: int
) -> None:
    """A replaced voter has all committed entries before it may vote.

    Otherwise the loss of the next disk, right after it, could lose entries.
    """
    cluster = converged_cluster(3, seed)
    for name in ("c", "b", "a"):
        cluster.propose((b"kept by two",))
        cluster.run(20)
        cluster.lose_disk(name)
        cluster.run(pause_ms)
        cluster.start(name)
        while not cluster.has_all_voters():
            cluster.run(10)
            assert cluster.now_ms < 100_000
    cluster.run_until_converged(10_000)


@pytest.mark.parametrize("seed", SEEDS)
def test_learner_loses_its_disk_while_catching_up(seed: int) -> None:
    """A replacement doesn't wait for a learner identity that was lost."""
    cluster = converged_cluster(3, seed)
    name = followers(cluster)[0].name
    for pause_ms in (2700, 2900, 3100):
        cluster.lose_disk(name)
        cluster.start(name)
        cluster.run(pause_ms)
    cluster.run_until_converged(20_000)


@pytest.mark.parametrize("lost", ["a", "b"])
def test_two_members_with_a_lost_disk_make_no_progress(lost: str) -> None:
    """One of two voters neither commits alone nor forms a second group."""
    cluster = converged_cluster(2, 1)
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
def test_no_group_forms_while_a_peer_is_down(size: int) -> None:
    """No group forms without a peer that may belong to an existing one."""
    cluster = Cluster(size, 1)
    cluster.crash(cluster.names[-1])
    cluster.run(10_000)
    assert cluster.committed == {}
    cluster.start(cluster.names[-1])
    cluster.run_until_converged(10_000)


def test_initial_member_that_missed_the_formation_joins() -> None:
    """Members that missed the formation join, so a quorum is reached."""
    cluster = Cluster(3, 1)
    while not cluster.committed:
        cluster.step()
    for name in ("b", "c"):
        cluster.network.blocked_links.add(("a", name))
    cluster.run(1000)
    cluster.network.blocked_links.clear()
    cluster.run_until_converged(10_000)


@pytest.mark.parametrize("size", [2, 3, 5])
def test_leadership_transfer_needs_no_election_timeout(size: int) -> None:
    """A graceful stop hands over leadership without a timeout."""
    cluster = converged_cluster(size, 1)
    leader = current_leader(cluster)
    cluster.handle(leader, TransferLeadership())
    cluster.run(100)
    assert current_leader(cluster) is not leader


@pytest.mark.parametrize("size", [3, 5])
def test_lagging_member_receives_a_snapshot(size: int) -> None:
    """A member that lacks compacted entries receives a snapshot instead."""
    cluster = converged_cluster(size, 1)
    lagging = followers(cluster)[0]
    cluster.crash(lagging.name)
    for number in range(30):
        cluster.propose((str(number).encode(),) * 3)
        cluster.run(20)
    cluster.start(lagging.name)
    cluster.run(3000)
    assert lagging.disk.snapshot is not None
    assert lagging.disk.snapshot.index > 40
    cluster.run_until_converged(10_000)


def test_single_member_leads_immediately_after_restart() -> None:
    """A single-member group needs no election timeout to elect a leader."""
    cluster = converged_cluster(1, 1)
    cluster.crash("a")
    cluster.start("a")
    cluster.run(20)
    assert current_leader(cluster).applied_index == max(cluster.committed)
