"""Replicated state of jobs, their runs and the manifest in force."""
