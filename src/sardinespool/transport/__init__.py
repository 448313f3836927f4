"""Frames between processes and HTTP."""
