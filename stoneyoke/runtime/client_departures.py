"""Checks that no attempt outlives its client: what must hold once a client has left, and is counted if it does not."""

from stoneyoke.runtime.metrics import Metrics
from stoneyoke.runtime.pending_request import PendingRequest

# At the second sweep after its client has left, an attempt has had a whole interval between sweeps of a running event
# loop to end. Turns of the loop are no measure of it, and time is none: a process that was stopped has done nothing.
SWEEPS_MAX = 2
ATTEMPT_OUTLIVED_CLIENT = "attempt outlived its client"


class ClientDepartures:
    """The requests of clients that have left, for as long as they have an attempt in flight.

    An attempt whose run must not be broken off is expected to outlive its client, and is not entered.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Starts with none."""
        self.metrics = metrics
        self.sweeps_by_request: dict[PendingRequest, int] = {}

    def client_gone(self, request: PendingRequest) -> None:
        """A client has left; the decision logic has been told."""
        if request.ends_with_client and request.has_attempt():
            self.sweeps_by_request[request] = 0

    def request_closed(self, request: PendingRequest) -> None:
        """A request has ended, and with it its attempts."""
        self.sweeps_by_request.pop(request, None)

    def sweep(self) -> None:
        """Counts a violation for each attempt that is still in flight at the second sweep; once for each."""
        for request in list(self.sweeps_by_request):
            self.sweeps_by_request[request] += 1
            if self.sweeps_by_request[request] >= SWEEPS_MAX:
                del self.sweeps_by_request[request]
                self.metrics.check_invariant(not request.has_attempt(), ATTEMPT_OUTLIVED_CLIENT)
