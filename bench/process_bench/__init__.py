"""Benchmarks of the programs as real processes on loopback."""
