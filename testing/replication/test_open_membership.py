"""Groups whose members find each other from a few seeds."""

import pytest

from sardinespool.replication.events import Propose
from sardinespool.replication.identity import name_of
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from testing.replication.cluster import Cluster
from testing.replication.cluster import Node

SEEDS = ("a", "b", "c")
CATCH_UP_MS = 4_000
"""Time in which a successor must vote, and its predecessor must be out."""


class OpenCluster(Cluster):
    """Members know the seeds only; others join later."""

    def start(self, name: str) -> None:
        node = self.nodes[name]
        first_start = node.disk.state().hard_state.incarnation in "123"
        settings = ReplicaSettings(
            group="g",
            name=name,
            peers=tuple(seed for seed in SEEDS if seed != name),
            bootstrap=name in SEEDS and first_start,
            open_membership=True,
            heartbeat_interval_ms=100,
            lease_ms=700,
            election_timeout_min_ms=900,
            election_timeout_max_ms=1_500,
            append_limit_bytes=300,
            retained_entries=5,
        )
        state = node.disk.state()
        node.applied = 0
        node.digest = b""
        if state.snapshot:
            self._restore(node, state.snapshot.index, state.snapshot.data)
        node.replica = Replica(
            settings, state, self.random.getrandbits(32), self.now(node)
        )

    def add(self, name: str) -> None:
        self.names.append(name)
        self.nodes[name] = Node(name, self._new_disk())
        self.start(name)

    def voters(self) -> set[str]:
        """Return the names of the leader's voters, or nothing."""
        for node in self.leaders():
            assert node.replica is not None
            return set(map(name_of, node.replica.status().voters))
        return set()

    def write(self, count: int) -> None:
        for number in range(count):
            self.propose((f"{self.now_ms}-{number}".encode(),))
            self.run(20)


def formed(seed: int) -> OpenCluster:
    cluster = OpenCluster(3, seed)
    cluster.run(3_000)
    assert cluster.voters() == set(SEEDS)
    cluster.write(30)
    return cluster


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lost", SEEDS)
def test_successor_at_another_address_votes_in_time(
    seed: int, lost: str
) -> None:
    """Guards against a lost machine that is still counted on."""
    cluster = formed(seed)
    cluster.crash(lost)
    cluster.run(1_000)
    cluster.add("d")
    cluster.run(CATCH_UP_MS)
    assert cluster.voters() == {*SEEDS, "d"} - {lost}
    cluster.write(5)


@pytest.mark.parametrize("seed", range(4))
def test_disk_lost_machine_returns_at_its_address(seed: int) -> None:
    """Guards against a member without its disk that never votes again."""
    cluster = formed(seed)
    committed = max(cluster.committed)
    cluster.lose_disk("b")
    cluster.run(500)
    cluster.start("b")
    cluster.run(CATCH_UP_MS)
    cluster.settle(5_000)
    assert cluster.nodes["b"].applied > committed


@pytest.mark.parametrize("seed", range(4))
def test_voter_that_was_removed_joins_again(seed: int) -> None:
    """Guards against a member that stays outside after a long cut."""
    cluster = OpenCluster(3, seed)
    cluster.add("d")
    cluster.run(5_000)
    assert cluster.voters() == {*SEEDS, "d"}
    others = [name for name in cluster.names if name != "c"]
    for name in others:
        cluster.network.cuts |= {(name, "c"), ("c", name)}
    cluster.run(6_000)
    assert cluster.voters() == {"a", "b", "d"}
    cluster.write(30)
    cluster.network.cuts.clear()
    cluster.settle(8_000)


@pytest.mark.parametrize("seed", range(4))
def test_three_members_bear_a_long_loss_without_a_change(seed: int) -> None:
    """Guards against a group that shrinks until one disk decides."""
    cluster = formed(seed)
    cluster.crash("c")
    cluster.run(10_000)
    assert cluster.voters() == set(SEEDS)
    for node in cluster.leaders():
        cluster.handle(node, Propose((b"x",)))
    cluster.start("c")
    cluster.settle(8_000)


@pytest.mark.parametrize("seed", range(4))
def test_empty_machine_after_the_first_start_forms_no_group(seed: int) -> None:
    """Guards against two groups after all seeds are stale."""
    cluster = formed(seed)
    for name in SEEDS:
        cluster.crash(name)
    cluster.add("d")
    cluster.run(5_000)
    node = cluster.nodes["d"]
    assert node.replica is not None
    assert not node.replica.status().formed
