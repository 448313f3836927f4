"""Tests of the framed protocol between processes."""
