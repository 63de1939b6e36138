"""Checks the invariant that no attempt outlives its client, and counts each violation."""

from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest

# At the second sweep after its client has disconnected, an attempt has had one whole interval between two sweeps of a
# running event loop to end. Neither iterations of the loop nor elapsed time would measure that: a process that was
# stopped has done nothing in the meantime.
SWEEPS_MAX = 2
ATTEMPT_OUTLIVED_CLIENT = "attempt outlived its client"


class ClientDepartures:
    """The requests of disconnected clients, for as long as they have an attempt in flight.

    An attempt that must not be cancelled is expected to outlive its client, and its request is not added.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Starts without requests."""
        self.metrics = metrics
        self.sweeps_by_request: dict[PendingRequest, int] = {}

    def client_gone(self, request: PendingRequest) -> None:
        """Adds a request whose client has disconnected. The decision logic has been notified before."""
        if request.ends_with_client and request.has_attempt():
            self.sweeps_by_request[request] = 0

    def request_closed(self, request: PendingRequest) -> None:
        """Removes a request that is closed; it has no attempt in flight any more."""
        self.sweeps_by_request.pop(request, None)

    def sweep(self) -> None:
        """Counts one violation for each attempt that is still in flight at the second sweep."""
        for request in list(self.sweeps_by_request):
            self.sweeps_by_request[request] += 1
            if self.sweeps_by_request[request] >= SWEEPS_MAX:
                del self.sweeps_by_request[request]
                self.metrics.check_invariant(not request.has_attempt(), ATTEMPT_OUTLIVED_CLIENT)
