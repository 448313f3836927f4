"""Tests of the placement policy and the scheduler's planning task."""
