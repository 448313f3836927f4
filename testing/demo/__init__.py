"""Tests of the stand-in worker and of the demonstration's files."""
