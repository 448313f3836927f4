"""Idempotency keys and request records."""
