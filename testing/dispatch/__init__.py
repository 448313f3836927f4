"""Tests of the dispatcher."""
