"""Implementation of the agent."""
