"""Tests of processes under clients that nobody controls."""
