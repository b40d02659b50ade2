"""Implementation of the platform clients."""
