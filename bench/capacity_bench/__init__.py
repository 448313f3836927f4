"""Capacity model: measured costs, extrapolated to the target's size."""
