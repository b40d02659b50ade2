"""Implementation of the report package; import from `cicadabank.report`."""
