"""Implementation of the settings package; import from `cicadabank.settings`."""
