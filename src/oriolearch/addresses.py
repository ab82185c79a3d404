"""Parsing of network addresses in settings and registry entries."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host is enclosed in brackets.

    :raises ValueError: when the port is not a number.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
