"""Generated gRPC code, channels and servers."""

from cicadabank.wire.channels import ChannelPool, serve

__all__ = ["ChannelPool", "serve"]
