"""Start permits and the state of failure domains."""
