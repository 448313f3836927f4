"""Tests of `sardinespool.capacity`."""
