"""Settings files, checked whole at start."""
