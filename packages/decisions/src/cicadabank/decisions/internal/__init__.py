"""Implementation of the scheduling logic, without input, output or clock reads."""
