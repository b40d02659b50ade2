"""Generated gRPC code, and helpers for channels and servers."""

from cicadabank.wire.channels import ChannelPool, serve

__all__ = ["ChannelPool", "serve"]
