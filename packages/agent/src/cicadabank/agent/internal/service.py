"""The agent's gRPC service.

Passes orders to the agent's task and waits for its replies.
"""

from __future__ import annotations

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import grpc
from cicadabank.wire import control_pb2, control_pb2_grpc

ORDER_TIMEOUT_S = 4.0


class AgentService(control_pb2_grpc.AgentServicer):
    """Serves the holder of the cell and, beside a minion, every entry.

    Parameters
    ----------
    task : AgentTask
        Owner of the state.
    """

    def __init__(self, task):
        self._task = task

    def _order(self, method, request, context):
        future: Future = Future()
        self._task.post(method, request, future.set_result)
        try:
            return future.result(timeout=ORDER_TIMEOUT_S)
        except FutureTimeoutError:
            context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, "the agent was too slow")

    def ReserveMember(self, request, context):  # noqa: N802
        """Reserve accelerators for a member of a gang."""
        return self._order(self._task.reserve_member, request, context)

    def StartMember(self, request, context):  # noqa: N802
        """Start a reserved member."""
        return self._order(self._task.start_member, request, context)

    def BeginMember(self, request, context):  # noqa: N802
        """Let a held member begin."""
        return self._order(self._task.begin_member, request, context)

    def StopMember(self, request, context):  # noqa: N802
        """Stop a member, or release its reservation."""
        return self._order(self._task.stop_member, request, context)

    def PushView(self, request, context):  # noqa: N802
        """Take a failure domain out at once."""
        self._task.post(self._task.push_view, request)
        return control_pb2.Empty()

    def Handle(self, request, context):  # noqa: N802
        """Pass a request to the minion."""
        return self._task.handle(request, context)
