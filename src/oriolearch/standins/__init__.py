"""Stand-ins for the platform and for upstreams, with faults to switch on."""
