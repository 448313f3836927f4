"""Parts of the stand-in worker."""
