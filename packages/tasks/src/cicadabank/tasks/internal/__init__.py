"""Implementation of the tasks package."""
