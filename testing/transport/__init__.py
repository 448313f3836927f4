"""Tests of frames and connections between processes."""
