"""Idempotency keys and records of requests that must run once."""
