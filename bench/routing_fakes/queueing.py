"""M/M/S/k queue, after Chen and Zhang's fault detection mechanism."""

import functools
import math


@functools.lru_cache(maxsize=65_536)
def sojourn_and_blocking(
    arrival: float, service: float, servers: int, places: int
) -> tuple[float, float]:
    """Return the mean sojourn time and the blocking probability.

    Parameters
    ----------
    arrival : float
        Arrivals per ms.
    service : float
        Completions per ms of one busy server.
    servers : int
        Number of servers (S).
    places : int
        Largest number of requests in the system (k).
    """
    offered = arrival / service
    terms = [
        offered**j / math.factorial(j)
        if j <= servers
        else offered**j / (math.factorial(servers) * servers ** (j - servers))
        for j in range(places + 1)
    ]
    whole = sum(terms)
    blocking = terms[places] / whole
    mean_requests = sum(j * term for j, term in enumerate(terms)) / whole
    return mean_requests / (arrival * (1.0 - blocking)), blocking
