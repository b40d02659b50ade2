"""Implementation of the entry."""
