"""Decompression of zlib data with a size limit."""

import zlib


def decompress(packed: bytes, max_bytes: int) -> bytes:
    """Decompress data of a bounded size.

    :param max_bytes: limit on the result, as a small message may decompress
        to gigabytes.
    :raises ValueError: when the result is larger or the data is incomplete
        or malformed.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, max_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError(f'must be complete and at most {max_bytes} bytes')
    return data
