"""Tests of the durable storage in the data folder."""
