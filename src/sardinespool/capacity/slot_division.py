"""Division of an endpoint's remaining slots among entries."""

from collections.abc import Mapping

_GOLDEN_RATIO = 0.6180339887
"""Its multiples modulo 1 are evenly spread, whatever their number."""


def divide_slots(
    count: int, first_slot_number: int, widths: Mapping[str, float]
) -> dict[str, int]:
    """Divide slots among entries in proportion to the widths.

    Each slot is a fixed point in [0, 1), which is divided into an interval
    for each entry. A slot belongs to the entry whose interval contains it. A
    small change of the widths moves only slots near the ends of intervals.
    Rounding the shares of each endpoint instead would move slots at random,
    and each move leaves a slot idle until the old grant has ended.

    Parameters
    ----------
    count : int
        Slots to divide. The shares add up to it unless `widths` is empty.
    first_number : int
        Number of the first slot among the slots of all endpoints.
    widths : Mapping
        Width of each entry's interval; positive, in any unit.
    """
    shares = dict.fromkeys(widths, 0)
    if not shares:
        return shares
    total_width = sum(widths.values())
    names = sorted(widths)
    for slot_number in range(first_slot_number, first_slot_number + count):
        point = (slot_number * _GOLDEN_RATIO) % 1.0 * total_width
        owner = names[-1]
        for name in names:
            point -= widths[name]
            if point < 0:
                owner = name
                break
        shares[owner] += 1
    return shares
