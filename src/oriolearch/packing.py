"""Reads what was compressed with zlib, up to a limit."""

import zlib


def unpack(packed: bytes, largest: int) -> bytes:
    """Give the bytes that were compressed.

    :param largest: bytes; a small message may unpack to gigabytes.
    :raises ValueError: when they are more, incomplete or malformed.
    """
    unpacker = zlib.decompressobj()
    try:
        found = unpacker.decompress(packed, largest)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not unpacker.eof:
        raise ValueError(f'must be complete and at most {largest} bytes')
    return found
