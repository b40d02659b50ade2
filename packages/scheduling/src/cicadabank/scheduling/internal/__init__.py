"""Implementation of ``cicadabank.scheduling``."""
