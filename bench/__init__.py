"""Benchmarks, run by make bench and make capacity."""
