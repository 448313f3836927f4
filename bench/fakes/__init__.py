"""Simulated workers, tasks and domains for the placement benchmark."""
