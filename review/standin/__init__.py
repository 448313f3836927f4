"""Stand-ins for callers, operators, workers and machines."""
