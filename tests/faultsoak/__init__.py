"""Soak of real host processes under faults from outside.

``python -m tests.faultsoak --seeds 1-50`` plays series of faults against
hosts that run as separate processes. The promises are checked while it runs,
from what callers and upstreams see.
"""
