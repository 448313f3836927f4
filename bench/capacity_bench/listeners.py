"""Text on the cost of the listeners, for the capacity page."""

LISTENERS = (
    "",
    "## Listeners",
    "",
    "State of each connection is in the memory of its process only. Figures of"
    " trials on 2026-12-06, Python 3.11.7, on a busy machine of 7 processors.",
    "",
    "| quantity | at the size | cost |",
    "|---|---|---|",
    "| idle HTTP connection | each | 6.5 KiB resident, 9.1 before |",
    "| read of a connection | each | 0.13 us of accounting |",
    "| sweep of all connections, twice a second | 3,896 | 0.65 ms, and 1.2 ms"
    " to count the descriptors: 0.4% of a core |",
    "| choice of the connections to close | 3,896 | 6.3 ms for 1/32 of them |",
    "| choice of the requests to give up | 3,896 | 4.4 ms for 1/8 of the"
    " budget |",
    "| POST | `python -m bench.request_cost 381602a --rounds 20` | processor"
    " time times that of before: 0.78 for 600 bytes on a kept connection, 0.93"
    " on a new one, 0.72 for 262,144 bytes |",
    "",
    "A core of 424 MB and 4,100 descriptors accepts 3,618 connections"
    " and keeps 200 descriptors or what it opens itself: a leader with two"
    " connections to each of 1,800 workers accepts fewer than 500. The"
    " target's 5,300 workers need more descriptors or fewer connections a"
    " worker.",
)
