"""Tests of the group state machines."""
