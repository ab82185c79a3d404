"""Addresses as settings and entries write them."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host stands in brackets.

    :raises ValueError: when the port is no number.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
