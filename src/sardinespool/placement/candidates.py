"""Index of workers by free capacity, with sampling."""

import random
from collections.abc import Iterable
from collections.abc import Iterator

from sardinespool.placement.demand import Demand
from sardinespool.placement.fleet import WorkerState

_LEVELS = 130


def _level(millicores: int) -> int:
    """Return a level that grows with the number, four to each doubling."""
    if millicores < 8:
        return max(0, millicores)
    bits = millicores.bit_length()
    return min(_LEVELS - 1, 4 * bits - 8 + ((millicores >> (bits - 3)) & 3))


class CandidateIndex:
    """Workers in levels of free processors.

    A sample costs the number of candidates and levels, not that of workers.
    """

    def __init__(self, workers: Iterable[WorkerState]) -> None:
        self._levels: list[list[WorkerState]] = [[] for _ in range(_LEVELS)]
        for worker in workers:
            self._insert(worker)

    def _insert(self, worker: WorkerState) -> None:
        worker.level = _level(worker.free_processors_millicores)
        members = self._levels[worker.level]
        worker.position = len(members)
        members.append(worker)

    def remove(self, worker: WorkerState) -> None:
        """Remove a worker, so that it takes no more tasks in this pass."""
        members = self._levels[worker.level]
        last = members.pop()
        if last is not worker:
            members[worker.position] = last
            last.position = worker.position

    def update(self, worker: WorkerState) -> None:
        """Move a worker whose free capacity has changed."""
        if _level(worker.free_processors_millicores) != worker.level:
            self.remove(worker)
            self._insert(worker)

    def sample(
        self, demand: Demand, count: int, rng: random.Random
    ) -> list[WorkerState]:
        """Return up to `count` workers that the demand fits on.

        Workers are drawn uniformly from those with enough processors; all
        are looked at if they are no more than `count`.
        """
        pools = self._pools(demand)
        total = sum(map(len, pools))
        if total <= count:
            return [
                worker
                for pool in pools
                for worker in pool
                if worker.fits(demand)
            ]
        result = []
        start = 0
        pools.reverse()
        pool = pools.pop()
        for drawn in sorted(rng.sample(range(total), count)):
            while drawn - start >= len(pool):
                start += len(pool)
                pool = pools.pop()
            worker = pool[drawn - start]
            if worker.fits(demand):
                result.append(worker)
        return result

    def scan(self, demand: Demand) -> Iterator[WorkerState]:
        """Yield every worker that the demand fits on."""
        for pool in self._pools(demand):
            for worker in pool:
                if worker.fits(demand):
                    yield worker

    def _pools(self, demand: Demand) -> list[list[WorkerState]]:
        lowest = _level(demand.processors_millicores)
        return [pool for pool in self._levels[lowest:] if pool]
