"""Demonstrate the whole path on loopback, with losses."""
