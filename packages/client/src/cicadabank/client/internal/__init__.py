"""Implementation of the client."""
