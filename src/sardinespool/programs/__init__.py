"""Wiring of the programs."""
