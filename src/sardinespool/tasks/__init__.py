"""Jobs, tasks and workers of a failure domain."""
