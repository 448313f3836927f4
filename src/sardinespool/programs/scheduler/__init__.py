"""The scheduler program: placement decisions of one failure domain."""
