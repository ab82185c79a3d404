"""Stand-ins for the platform and for upstreams, with switchable faults."""
