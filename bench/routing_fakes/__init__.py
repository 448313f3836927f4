"""Small fakes around the real router and grant table, in virtual time."""
