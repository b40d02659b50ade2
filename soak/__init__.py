"""Randomized fault soak: real processes, faults from outside, promises checked."""
