"""Durable storage of replica state in the data folder."""
