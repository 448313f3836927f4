"""Demonstration of the whole system with stand-ins for the platform."""
