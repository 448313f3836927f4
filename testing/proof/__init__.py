"""Proof of the rules R1 to R10 in virtual time."""
