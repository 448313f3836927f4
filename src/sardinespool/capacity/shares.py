"""Division of slots by weight."""

from collections.abc import Mapping


def apportion(total: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Divide a whole number by weights (largest remainder method).

    Parameters
    ----------
    total : int
        What is divided; the shares add up to it unless `weights` is empty.
    weights : Mapping
        Positive weight of each name.
    """
    weight_sum = sum(weights.values())
    if weight_sum <= 0:
        return {}
    shares = {
        name: total * weight // weight_sum for name, weight in weights.items()
    }
    left = total - sum(shares.values())
    by_remainder = sorted(
        weights, key=lambda name: (-(total * weights[name] % weight_sum), name)
    )
    for name in by_remainder[:left]:
        shares[name] += 1
    return shares
