"""Leases, attempts and checkpoints."""
