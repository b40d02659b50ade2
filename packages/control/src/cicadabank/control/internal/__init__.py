"""Implementation of the processes."""
