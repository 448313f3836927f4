"""Slot grants for entries and configuration versions of processes."""
