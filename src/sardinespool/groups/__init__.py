"""State machines and leader services of the replicated groups."""
