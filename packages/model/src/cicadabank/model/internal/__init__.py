"""Implementation of the model package; import from `cicadabank.model`."""
