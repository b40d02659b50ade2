"""Implementation of the settings."""
