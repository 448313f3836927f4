"""Simulated domain around the production router and grant table."""
