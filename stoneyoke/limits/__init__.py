"""Limits that hold over all gateways: quotas through the shared counter or the quota lease holder. No I/O."""
