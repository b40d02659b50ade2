"""Benchmarks: ``python -m benchmarks.NAME`` runs one and prints its results."""
