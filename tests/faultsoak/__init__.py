"""Soak test of host processes with fault injection.

``python -m tests.faultsoak --seeds 1-50`` injects series of faults into hosts
that run as separate processes. Meanwhile it checks the promises against what
callers and upstreams observe.
"""
