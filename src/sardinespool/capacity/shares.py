"""Division of an endpoint's slots beyond the floors."""

from collections.abc import Mapping

_GOLDEN_RATIO = 0.6180339887
"""Multiples of it modulo 1 spread evenly, however many there are."""


def divide_slots(
    count: int, first_number: int, widths: Mapping[str, float]
) -> dict[str, int]:
    """Divide slots among entries in proportion to the widths.

    Each slot has a fixed point in [0, 1), and the entries have adjacent
    intervals there. A small change of the widths moves only the slots near
    the ends of the intervals. Rounding the shares of each endpoint instead
    moved slots at random, and each move leaves a slot idle until the old
    grant has ended.

    Parameters
    ----------
    count : int
        Slots to divide; the shares add up to it unless `widths` is empty.
    first_number : int
        Number of the first slot among the slots of all endpoints.
    widths : Mapping
        Positive width of each entry's interval.
    """
    shares = dict.fromkeys(widths, 0)
    if not shares:
        return shares
    whole = sum(widths.values())
    names = sorted(widths)
    for number in range(first_number, first_number + count):
        point = (number * _GOLDEN_RATIO) % 1.0 * whole
        owner = names[-1]
        for name in names:
            point -= widths[name]
            if point < 0:
                owner = name
                break
        shares[owner] += 1
    return shares
