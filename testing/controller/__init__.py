"""Tests of controller."""
