"""Part of the capacity page on workspaces; its figures are no slopes."""

WORKSPACES = (
    "### Leader of the control group: workspaces",
    "",
    "| part | state | messages | time |",
    "|---|---|---|---|",
    "| limits | two sums for each workspace in the log's table and two "
    "on the leader, rebuilt from the log by a new leader; a run that "
    "outlives its task keeps its worker's id in the log | none of its "
    "own; a refused assignment is in `RunsRecorded` | 2.7 us to add and"
    " remove a run, 0.9 us a decision; one scan of all runs when a "
    "manifest lowers a limit below the use |",
    "| quotas | one time for each workspace in the log, 2.9 KB in a "
    "snapshot for 130; 11 bytes a job for `in_excess` and the name | "
    "none | one sum a job |",
    "| shares | none; the order is computed in each pass | none | a "
    "pass with 130 workspaces, 600 workers and 300 ready steps takes "
    "1.00 to 1.06 times as long with room for all and 1.08 to 1.09 "
    "times nearly full (`python -m bench.workspace_cost`, four runs) |",
    "| operators | 200 series of each metric at most | two lines for "
    "each workspace and reason that is held back | once a second |",
)
"""Lines; `bench.workspace_cost` measures the ratios."""
