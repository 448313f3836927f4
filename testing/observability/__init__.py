"""Tests of logs, metrics, state dumps and status routes."""
