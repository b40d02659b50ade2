"""The HTTP interface of callers and operators."""
