"""Index of workers by free processors, for random sampling."""

import random
from collections.abc import Iterable
from collections.abc import Iterator

from sardinespool.placement.demand import Demand
from sardinespool.placement.fleet import WorkerCapacity

_BUCKET_COUNT = 130


def _bucket_index(millicores: int) -> int:
    """Return the index of a logarithmic bucket, four per power of two."""
    if millicores < 8:
        return max(0, millicores)
    bits = millicores.bit_length()
    return min(
        _BUCKET_COUNT - 1, 4 * bits - 8 + ((millicores >> (bits - 3)) & 3)
    )


class CandidateIndex:
    """Workers in logarithmic buckets of free processors.

    The cost of a sample depends on the number of candidates and buckets, not
    on the number of workers.
    """

    def __init__(self, workers: Iterable[WorkerCapacity]) -> None:
        self._buckets: list[list[WorkerCapacity]] = [
            [] for _ in range(_BUCKET_COUNT)
        ]
        for worker in workers:
            self._insert(worker)

    def _insert(self, worker: WorkerCapacity) -> None:
        worker.bucket_index = _bucket_index(worker.free_processors_millicores)
        members = self._buckets[worker.bucket_index]
        worker.bucket_position = len(members)
        members.append(worker)

    def remove(self, worker: WorkerCapacity) -> None:
        """Remove a worker, which gets no more tasks in this pass."""
        members = self._buckets[worker.bucket_index]
        last = members.pop()
        if last is not worker:
            members[worker.bucket_position] = last
            last.bucket_position = worker.bucket_position

    def update(self, worker: WorkerCapacity) -> None:
        """Move a worker to the bucket of its current free processors."""
        if (
            _bucket_index(worker.free_processors_millicores)
            != worker.bucket_index
        ):
            self.remove(worker)
            self._insert(worker)

    def sample(
        self, demand: Demand, count: int, rng: random.Random
    ) -> list[WorkerCapacity]:
        """Return up to `count` workers that the demand fits on.

        Workers are sampled uniformly from the buckets with enough free
        processors. If these hold at most `count` workers, all are checked.
        """
        candidate_buckets = self._candidate_buckets(demand)
        total = sum(map(len, candidate_buckets))
        if total <= count:
            return [
                worker
                for bucket in candidate_buckets
                for worker in bucket
                if worker.fits(demand)
            ]
        result = []
        bucket_start = 0
        candidate_buckets.reverse()
        bucket = candidate_buckets.pop()
        for sampled_index in sorted(rng.sample(range(total), count)):
            while sampled_index - bucket_start >= len(bucket):
                bucket_start += len(bucket)
                bucket = candidate_buckets.pop()
            worker = bucket[sampled_index - bucket_start]
            if worker.fits(demand):
                result.append(worker)
        return result

    def scan(self, demand: Demand) -> Iterator[WorkerCapacity]:
        """Yield every worker that the demand fits on."""
        for bucket in self._candidate_buckets(demand):
            for worker in bucket:
                if worker.fits(demand):
                    yield worker

    def _candidate_buckets(self, demand: Demand) -> list[list[WorkerCapacity]]:
        first_index = _bucket_index(demand.processors_millicores)
        return [bucket for bucket in self._buckets[first_index:] if bucket]
