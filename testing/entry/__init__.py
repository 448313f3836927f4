"""Tests of the entry program and its HTTP transport."""
