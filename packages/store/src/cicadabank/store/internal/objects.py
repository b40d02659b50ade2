"""Client of the object service."""

from __future__ import annotations

import grpc
from cicadabank.model import NotFoundError
from cicadabank.store.errors import UnavailableError
from cicadabank.wire import ChannelPool, platform_pb2, platform_pb2_grpc
from tenacity import (
    Retrying,
    retry_if_exception_type,
    stop_after_delay,
    wait_random_exponential,
)

CALL_TIMEOUT_S = 5.0


class ObjectClient:
    """Stores and fetches immutable objects by key; storing is idempotent.

    Parameters
    ----------
    address : str
        ``IP:port`` of the service.
    deadline_s : float, default=10.0
        Time limit of one operation, including retries.
    """

    def __init__(self, address: str, deadline_s: float = 10.0):
        self._address = address
        self._deadline_s = deadline_s
        self._pool = ChannelPool()

    def _call(self, method: str, request: object) -> object:
        retrying = Retrying(
            retry=retry_if_exception_type(grpc.RpcError),
            stop=stop_after_delay(self._deadline_s),
            wait=wait_random_exponential(0.05, 1.0),
            reraise=True,
        )
        try:
            return retrying(self._call_once, method, request)
        except grpc.RpcError as error:
            raise UnavailableError(
                f"the object service did not reply: {error.code().name.lower()}",
                "retry once the platform's object service is available",
            ) from error

    def _call_once(self, method: str, request: object) -> object:
        stub = platform_pb2_grpc.ObjectsStub(self._pool.get(self._address))
        try:
            return getattr(stub, method)(request, timeout=CALL_TIMEOUT_S)
        except grpc.RpcError as error:
            # A broken connection may be noticed only through expired deadlines, so the
            # next attempt uses a new one.
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._pool.drop(self._address)
            raise

    def store(self, key: str, data: bytes) -> None:
        """Store an object.

        Raises
        ------
        UnavailableError
            If no reply arrived. The object may have been stored; storing it again is
            safe.
        """
        self._call("Store", platform_pb2.Object(key=key, data=data))

    def fetch(self, key: str) -> bytes:
        """Return the data of an object.

        Raises
        ------
        NotFoundError
            If the object does not exist.
        UnavailableError
            If no reply arrived.
        """
        reply = self._call("Fetch", platform_pb2.ObjectKey(key=key))
        # The service returns an empty key if there is no such object.
        if not reply.key:
            raise NotFoundError(f"the object {key!r} does not exist")
        return reply.data

    def close(self) -> None:
        """Close the connections to the service."""
        self._pool.close()
