"""Implementation of the reports."""
