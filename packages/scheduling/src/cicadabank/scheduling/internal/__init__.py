"""Implementation of the scheduling decisions."""
