"""The decisions about an RPC: quotas, choice of backend, retries, refusals."""

from stoneyoke.control.gateway import Gateway as Gateway
