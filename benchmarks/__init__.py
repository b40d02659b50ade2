"""Benchmarks; each prints JSON and is run as ``python -m benchmarks.NAME``."""
