"""Implementation of the entry and agent processes."""
