"""Request admission, load balancing, retries and outlier ejection."""
