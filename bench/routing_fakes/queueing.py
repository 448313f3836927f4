"""M/M/S/k queue of Chen and Zhang's fault detection mechanism."""

import functools
import math


@functools.lru_cache(maxsize=65_536)
def sojourn_and_blocking(
    arrival_rate: float, service_rate: float, servers: int, capacity: int
) -> tuple[float, float]:
    """Return the mean sojourn time and the blocking probability.

    Parameters
    ----------
    arrival_rate : float
        Arrivals per ms.
    service_rate : float
        Completions per ms of a busy server.
    servers : int
        Number of servers (S).
    capacity : int
        Maximum number of requests in the system (k).
    """
    offered_load = arrival_rate / service_rate
    terms = [
        offered_load**j / math.factorial(j)
        if j <= servers
        else offered_load**j
        / (math.factorial(servers) * servers ** (j - servers))
        for j in range(capacity + 1)
    ]
    total = sum(terms)
    blocking = terms[capacity] / total
    mean_requests = sum(j * term for j, term in enumerate(terms)) / total
    return mean_requests / (arrival_rate * (1.0 - blocking)), blocking
