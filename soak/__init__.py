"""Randomized fault soak: checks invariants on real processes under injected faults."""
