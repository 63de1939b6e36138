"""The decisions about an RPC: quotas, choice of a backend, retries and rejections."""

from stoneyoke.control.gateway import Gateway as Gateway
