"""Measurements of the placement policy in virtual time."""
