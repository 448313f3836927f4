"""Stand-ins of the second review; only the standard library is needed."""
