"""The agent's gRPC service.

Posts orders to the agent's actor and waits for its replies.
"""

from __future__ import annotations

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import grpc
from cicadabank.wire import control_pb2, control_pb2_grpc

# Exceeds the holder's longest timeout for an order, which is that of a stop.
ORDER_PROCESSING_TIMEOUT_S = 4.0


class AgentService(control_pb2_grpc.AgentServicer):
    """Serves the holder of the cell and, for a minion, all entries.

    Parameters
    ----------
    actor : AgentActor
        Owner of the agent's state.
    """

    def __init__(self, actor):
        self._actor = actor

    def _order(self, method, request, context):
        future: Future = Future()
        self._actor.post(method, request, future.set_result)
        try:
            return future.result(timeout=ORDER_PROCESSING_TIMEOUT_S)
        except FutureTimeoutError:
            context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED,
                "the agent task did not reply in time",
            )

    def ReserveMember(self, request, context):  # noqa: N802
        """Reserve accelerators for a member of a gang."""
        return self._order(self._actor.reserve_member, request, context)

    def StartMember(self, request, context):  # noqa: N802
        """Start a reserved member."""
        return self._order(self._actor.start_member, request, context)

    def BeginMember(self, request, context):  # noqa: N802
        """Order a held member to begin."""
        return self._order(self._actor.begin_member, request, context)

    def StopMember(self, request, context):  # noqa: N802
        """Stop a member, or release its reservation."""
        return self._order(self._actor.stop_member, request, context)

    def PushView(self, request, context):  # noqa: N802
        """Treat a failure domain as out of service without waiting for a heartbeat."""
        self._actor.post(self._actor.push_view, request)
        return control_pb2.Empty()

    def Handle(self, request, context):  # noqa: N802
        """Forward a request to the minion."""
        return self._actor.handle(request, context)
