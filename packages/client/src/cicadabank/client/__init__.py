"""Client of the entries' HTTP API, and the command-line interface."""

from cicadabank.client.errors import ApiError, ClientError, UnreachableError
from cicadabank.client.internal.http import Client

__all__ = ["ApiError", "Client", "ClientError", "UnreachableError"]
