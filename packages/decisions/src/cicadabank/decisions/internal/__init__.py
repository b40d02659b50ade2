"""Implementation of the decisions; pure: state, event and time in, actions out."""
