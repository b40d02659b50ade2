"""Client of the entries' HTTP interface, and the command line."""

from cicadabank.client.errors import ApiError, ClientError, UnreachableError
from cicadabank.client.internal.http import Client

__all__ = ["ApiError", "Client", "ClientError", "UnreachableError"]
