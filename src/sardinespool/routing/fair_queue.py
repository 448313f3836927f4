"""Bounded queue of waiting requests, fair between users."""

import collections
import dataclasses
from collections.abc import Iterator


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """One request that waits for a slot.

    `ticket` is unique within the entry; `excluded` names workers that failed
    the request before.
    """

    ticket: str
    service: str
    user: str
    deadline_unix_ms: int
    excluded: frozenset[str] = frozenset()


class FairQueue:
    """Users take turns; within one user, first come is first served."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._by_user: collections.OrderedDict[
            str, collections.deque[Waiting]
        ] = collections.OrderedDict()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Waiting]:
        for waiting in self._by_user.values():
            yield from waiting

    def ahead_of(self, user: str) -> int:
        """Return how many requests are served before a new one of `user`."""
        own = len(self._by_user.get(user, ()))
        return sum(
            min(len(waiting), own + (name != user))
            for name, waiting in self._by_user.items()
        )

    def push(self, waiting: Waiting) -> Waiting | None:
        """Add a request and return the one that found no room, if any.

        In a full queue the newest request of the user with the most waiting
        requests gives way, unless the new request's user has as many.
        """
        displaced = None
        if self._length >= self._limit:
            own = len(self._by_user.get(waiting.user, ()))
            longest = max(
                self._by_user, key=lambda user: len(self._by_user[user])
            )
            if len(self._by_user[longest]) <= own + 1:
                return waiting
            displaced = self._by_user[longest][-1]
            self.remove(displaced)
        self._by_user.setdefault(waiting.user, collections.deque()).append(
            waiting
        )
        self._length += 1
        return displaced

    def peek(self) -> Waiting | None:
        """Return the request whose turn it is."""
        for waiting in self._by_user.values():
            return waiting[0]
        return None

    def first_untried(self) -> Waiting | None:
        """Return the first request, by turns, that was sent nowhere yet."""
        for waiting in self._by_user.values():
            for each in waiting:
                if not each.excluded:
                    return each
        return None

    def take(self, waiting: Waiting) -> None:
        """Remove a request that got its slot; its user goes to the end."""
        self.remove(waiting)
        if waiting.user in self._by_user:
            self._by_user.move_to_end(waiting.user)

    def remove(self, waiting: Waiting) -> None:
        """Remove a request from any place."""
        of_user = self._by_user[waiting.user]
        of_user.remove(waiting)
        self._length -= 1
        if not of_user:
            del self._by_user[waiting.user]
