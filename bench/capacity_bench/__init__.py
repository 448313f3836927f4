"""Slopes of cost by size, and what they give at the target's size."""
