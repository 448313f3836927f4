"""Tests of sardinespool."""
