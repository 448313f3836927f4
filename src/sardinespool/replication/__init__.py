"""Replicated log."""
