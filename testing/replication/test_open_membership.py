"""Groups with open membership, whose members discover each other."""

import pytest

from sardinespool.replication.events import Propose
from sardinespool.replication.identity import member_name
from sardinespool.replication.replica import Replica
from sardinespool.replication.settings import ReplicaSettings
from testing.replication.cluster import Cluster
from testing.replication.cluster import Node

SEEDS = ("a", "b", "c")
CATCH_UP_MS = 4_000
"""Time limit until a replacement is a voter and the old one is removed."""


class OpenCluster(Cluster):
    """Cluster whose members know only the seeds; others join later."""

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
        node.applied_index = 0
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
        """Return the names of the leader's voters; empty without a leader."""
        for node in self.leaders():
            assert node.replica is not None
            return set(map(member_name, node.replica.status().voters))
        return set()

    def learners(self) -> set[str]:
        """Return the names of the leader's learners."""
        for node in self.leaders():
            assert node.replica is not None
            return set(map(member_name, node.replica.status().learners))
        return set()

    def propose_commands(self, count: int) -> None:
        for number in range(count):
            self.propose((f"{self.now_ms}-{number}".encode(),))
            self.run(20)


def formed_cluster(seed: int) -> OpenCluster:
    cluster = OpenCluster(3, seed)
    cluster.run(3_000)
    assert cluster.voters() == set(SEEDS)
    cluster.propose_commands(30)
    return cluster


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("lost", SEEDS)
def test_replacement_at_other_address_becomes_voter(
    seed: int, lost: str
) -> None:
    """A crashed voter is removed once its replacement has caught up."""
    cluster = formed_cluster(seed)
    cluster.crash(lost)
    cluster.run(1_000)
    cluster.add("d")
    cluster.run(CATCH_UP_MS)
    assert cluster.voters() == {*SEEDS, "d"} - {lost}
    cluster.propose_commands(5)


@pytest.mark.parametrize("seed", range(4))
def test_member_that_lost_its_disk_becomes_voter_again(seed: int) -> None:
    """A member that returns with an empty disk is promoted to voter again."""
    cluster = formed_cluster(seed)
    committed = max(cluster.committed)
    cluster.lose_disk("b")
    cluster.run(500)
    cluster.start("b")
    cluster.run(CATCH_UP_MS)
    cluster.run_until_converged(5_000)
    assert cluster.nodes["b"].applied_index > committed


@pytest.mark.parametrize("seed", range(4))
def test_removed_voter_rejoins(seed: int) -> None:
    """A voter removed during a long partition joins again afterwards."""
    cluster = OpenCluster(3, seed)
    cluster.add("d")
    cluster.run(5_000)
    assert cluster.voters() == {*SEEDS, "d"}
    others = [name for name in cluster.names if name != "c"]
    for name in others:
        cluster.network.blocked_links |= {(name, "c"), ("c", name)}
    cluster.run(6_000)
    assert cluster.voters() == {"a", "b", "d"}
    cluster.propose_commands(30)
    cluster.network.blocked_links.clear()
    cluster.run_until_converged(8_000)


@pytest.mark.parametrize("seed", range(4))
def test_three_voters_stay_while_one_is_down(seed: int) -> None:
    """A group of three isn't reduced further when a voter is down."""
    cluster = formed_cluster(seed)
    cluster.crash("c")
    cluster.run(10_000)
    assert cluster.voters() == set(SEEDS)
    for node in cluster.leaders():
        cluster.handle(node, Propose((b"x",)))
    cluster.start("c")
    cluster.run_until_converged(8_000)


@pytest.mark.parametrize("seed", range(4))
def test_new_member_forms_no_group_if_all_seeds_are_down(seed: int) -> None:
    """A new member doesn't form a second group if all seeds are down."""
    cluster = formed_cluster(seed)
    for name in SEEDS:
        cluster.crash(name)
    cluster.add("d")
    cluster.run(5_000)
    node = cluster.nodes["d"]
    assert node.replica is not None
    assert not node.replica.status().formed


@pytest.mark.parametrize("seed", range(4))
def test_learner_lost_for_good_does_not_block_replacements(seed: int) -> None:
    """Guards against joins that wait for a member that never returns."""
    cluster = formed_cluster(seed)
    cluster.crash("c")
    cluster.run(1_000)
    cluster.add("d")
    while not cluster.learners():
        cluster.step()
    cluster.crash("d")
    cluster.add("e")
    cluster.run(2 * CATCH_UP_MS)
    assert cluster.learners() == set()
    assert cluster.voters() == {"a", "b", "e"}
    cluster.propose_commands(5)
