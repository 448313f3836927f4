"""Deterministic simulation tests of the safety rules R1 to R10."""
