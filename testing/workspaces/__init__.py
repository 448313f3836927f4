"""Tests of the limits and shares of workspaces."""
