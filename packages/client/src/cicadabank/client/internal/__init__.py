"""Implementation of the client package; import from `cicadabank.client`."""
