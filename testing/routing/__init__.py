"""Tests of routing decisions, in virtual time."""
