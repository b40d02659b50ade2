"""Implementation of the scheduler of single-gang jobs, without I/O or clock reads."""
