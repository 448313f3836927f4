"""Tests of `sardinespool.domains`."""
