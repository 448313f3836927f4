"""Files under the data folder."""
