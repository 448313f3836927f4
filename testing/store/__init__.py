"""Tests of the store program."""
