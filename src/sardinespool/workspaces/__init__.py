"""Limits and shares of the workspaces of a deployment."""
