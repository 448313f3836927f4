"""Programs: process setup, startup and shutdown."""
