"""Tests of `sardinespool.tasks`."""
