"""Typed requests, replies and replicated commands."""
