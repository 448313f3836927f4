"""Tests of the files under the data folder."""
