"""Tests of the pages under docs."""
