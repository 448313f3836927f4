"""Jobs of dependent steps: state, run records and manifest versions."""
