"""State machines and services of the two kinds of groups."""
