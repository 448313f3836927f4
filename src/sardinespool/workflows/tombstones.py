"""Cancelled jobs that are not stored.

A cancel may overtake the submission of its job, which waits in a process that
stands still, on a link or in the log of an earlier leader. The tombstone lets
the submission be stored as cancelled whenever it is committed.
"""

from collections.abc import Iterable

from sardinespool.messages.workflows import JobAddress

TOMBSTONES_MAX = 20_000
"""Takes 10 MB at most; 100 cancels a second without a job for 3 minutes."""


class Tombstones:
    """Addresses of cancelled jobs, in the order of their cancels.

    Attributes
    ----------
    numbers : dict of JobAddress to int
        Number of the latest cancel of each address.
    last_number : int
        Number of the latest cancel of all.
    """

    def __init__(
        self,
        numbers: Iterable[tuple[JobAddress, int]] = (),
        last_number: int = 0,
    ) -> None:
        self.numbers = dict(numbers)
        self.last_number = last_number

    def has_room(self, address: JobAddress) -> bool:
        """Return whether a cancel of an address can be remembered."""
        return address in self.numbers or len(self.numbers) < TOMBSTONES_MAX

    def add(self, address: JobAddress) -> None:
        """Remember a cancel, also one of an address that is remembered."""
        self.numbers.pop(address, None)
        self.last_number += 1
        self.numbers[address] = self.last_number

    def take(self, address: JobAddress) -> bool:
        """Remove an address; return whether it was remembered."""
        return self.numbers.pop(address, None) is not None

    def forget_through(self, number: int) -> None:
        """Remove the cancels up to a number."""
        while self.numbers:
            first = next(iter(self.numbers))
            if self.numbers[first] > number:
                return
            del self.numbers[first]
