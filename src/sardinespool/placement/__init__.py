"""Placement policy: assigns queued tasks to workers."""
