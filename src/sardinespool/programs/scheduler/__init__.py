"""Scheduler program: plans the placements of one failure domain."""
