"""Bounded request queue with fair queueing between users."""

import collections
import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One request that waits for a slot.

    `ticket` is unique within the entry. `excluded` names the workers that
    the request was already sent to.
    """

    ticket: str
    service: str
    user: str
    deadline_unix_ms: int
    excluded: frozenset[str] = frozenset()


class FairQueue:
    """Round robin between users; first in, first out for each user."""

    def __init__(self, max_length: int) -> None:
        self._max_length = max_length
        self._by_user: collections.OrderedDict[
            str, collections.deque[QueuedRequest]
        ] = collections.OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueuedRequest]:
        for waiting in self._by_user.values():
            yield from waiting

    def count_ahead_of(self, user: str) -> int:
        """Return how many requests would precede a new one of `user`."""
        own_count = len(self._by_user.get(user, ()))
        return sum(
            min(len(waiting), own_count + (name != user))
            for name, waiting in self._by_user.items()
        )

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request and return the one that was rejected, if any.

        If the queue is full, the newest request of the user with the most
        queued requests is removed, unless the new request's user would then
        have as many.
        """
        displaced = None
        if self._length >= self._max_length:
            own_count = len(self._by_user.get(waiting.user, ()))
            longest_user = max(
                self._by_user, key=lambda user: len(self._by_user[user])
            )
            if len(self._by_user[longest_user]) <= own_count + 1:
                return waiting
            displaced = self._by_user[longest_user][-1]
            self.remove(displaced)
        self._by_user.setdefault(waiting.user, collections.deque()).append(
            waiting
        )
        self._length += 1
        return displaced

    def peek(self) -> QueuedRequest | None:
        """Return the next request in round-robin order."""
        for waiting in self._by_user.values():
            return waiting[0]
        return None

    def first_new_request(self) -> QueuedRequest | None:
        """Return the next request that was not sent anywhere yet."""
        for waiting in self._by_user.values():
            for each in waiting:
                if not each.excluded:
                    return each
        return None

    def dequeue(self, waiting: QueuedRequest) -> None:
        """Remove a request that got its slot; its user goes last."""
        self.remove(waiting)
        if waiting.user in self._by_user:
            self._by_user.move_to_end(waiting.user)

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request at any position."""
        user_queue = self._by_user[waiting.user]
        user_queue.remove(waiting)
        self._length -= 1
        if not user_queue:
            del self._by_user[waiting.user]
