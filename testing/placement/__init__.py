"""Tests of the placement policy and of the scheduler's planning task."""
