"""Benchmarks: simulated policies, real processes and capacity."""
