"""Tests of `sardinespool.requests`."""
