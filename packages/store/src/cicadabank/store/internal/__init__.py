"""Implementation of ``cicadabank.store``."""
