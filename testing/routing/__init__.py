"""Tests of the routing state machines in virtual time."""
