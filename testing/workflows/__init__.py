"""Tests of the workflow state."""
