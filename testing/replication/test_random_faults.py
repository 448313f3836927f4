"""Random fault injection on simulated groups of several sizes."""

import pytest

from sardinespool.replication.events import TransferLeadership
from testing.replication.cluster import Cluster

FAULT_STEP_MS = 100


class FaultInjector:
    """Injects random faults that a group of this size must tolerate."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._random = cluster.random
        self._restarts: dict[str, int] = {}
        self._proposed = 0

    def run(self, duration_ms: int) -> None:
        cluster = self._cluster
        end_ms = cluster.now_ms + duration_ms
        while cluster.now_ms < end_ms:
            self._inject()
            # Nothing is proposed in every other second. The logs are then
            # equal, so a wrongly granted vote can decide an election.
            idle = cluster.now_ms // 1000 % 2
            for _ in range(0 if idle else self._random.randrange(4)):
                self._proposed += 1
                cluster.propose((str(self._proposed).encode() * 20,))
            cluster.run(FAULT_STEP_MS)
            for name, node in cluster.nodes.items():
                if node.replica is None:
                    self._restart_when_due(name)

    def _inject(self) -> None:
        cluster = self._cluster
        network = cluster.network
        node = cluster.nodes[self._random.choice(cluster.names)]
        match self._random.randrange(150):
            case 0 | 1:
                node.crash_at = self._random.choice(
                    ("before persist", "after persist")
                )
            case 2:
                cluster.crash(node.name)
            case 3:
                node.frozen_until_ms = cluster.now_ms + self._random.randrange(
                    200, 4000
                )
            case 4 | 5 | 6:
                other = self._random.choice(cluster.names)
                network.blocked_links.add((node.name, other))
                if self._random.random() < 0.5:
                    network.blocked_links.add((other, node.name))
            case 7 | 8 | 9 | 10:
                network.blocked_links.clear()
            case 11 | 12:
                network.loss = self._random.choice((0.0, 0.0, 0.05, 0.3))
            case 13 | 14:
                network.duplication = self._random.choice((0.0, 0.2))
            case 15 | 16 | 17 | 18:
                network.delay_max_ms = self._random.choice((3, 3, 60, 1500))
            case 19:
                if node.replica is not None:
                    cluster.handle(node, TransferLeadership())
            case 20 | 21 | 22:
                # Another disk may be lost as soon as the member that lost the
                # previous one is a voter again.
                if len(cluster.names) > 2 and cluster.has_all_voters():
                    cluster.lose_disk(node.name)
            case _:
                pass

    def _restart_when_due(self, name: str) -> None:
        cluster = self._cluster
        if name not in self._restarts:
            delay_ms = self._random.randrange(100, 2500)
            self._restarts[name] = cluster.now_ms + delay_ms
        elif cluster.now_ms >= self._restarts[name]:
            del self._restarts[name]
            cluster.start(name)


@pytest.mark.parametrize(
    ("size", "seed"),
    [
        (size, seed)
        for size, seeds in ((1, 2), (2, 6), (3, 16), (5, 8))
        for seed in range(seeds)
    ],
)
def test_group_is_consistent_under_random_faults(size: int, seed: int) -> None:
    """Random crashes, partitions and lost disks break no Raft invariant.

    The invariants are one lease at a time, one vote per member and term and
    no lost or conflicting committed entry. After the faults the group must
    make progress again.
    """
    cluster = Cluster(size, seed)
    cluster.run_until_converged(10_000)
    faults = FaultInjector(cluster)
    committed_under_faults = 0
    for _ in range(2):
        before = len(cluster.committed)
        faults.run(12_000)
        committed_under_faults += len(cluster.committed) - before
        cluster.heal()
        cluster.run_until_converged(60_000)
        cluster.check_logs()
    # With fewer commits the faults could hardly cause a loss.
    assert committed_under_faults >= 5
