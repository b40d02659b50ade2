"""Implementation of the stand-ins; import from `cicadabank.standin` instead."""
