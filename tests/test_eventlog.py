"""The log that never waits for its reader."""

import json
import logging
import os
import time

import pytest

from oriolearch.eventlog import PIPE_BYTES, PipeHandler


def record(text: str) -> logging.LogRecord:
    return logging.LogRecord('oriolearch', logging.INFO, '', 0, text, (), None)


def test_full_pipe_delays_nobody() -> None:
    """A host that stops because nobody reads its log.

    The lines that were left out are counted in the next one that is written.
    """
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    line = json.dumps({'text': 'x' * 1000})
    began = time.monotonic()
    for _ in range(500):
        handler.emit(record(line))
    assert time.monotonic() - began < 2
    assert handler.left_out > 0
    assert len(handler.rest) <= PIPE_BYTES
    os.set_blocking(reader, False)
    drained = b''
    for _ in range(200):
        handler.emit(record('"next"'))
        try:
            drained += os.read(reader, PIPE_BYTES)
        except BlockingIOError:
            break
    assert b'lines_left_out' in drained
    whole = drained.split(b'\n')[:-1]
    for text in whole:
        json.loads(text)
    os.close(reader)
    os.close(writer)


def test_closed_pipe_is_no_error() -> None:
    """A host that ends with the reader of its log."""
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    os.close(reader)
    handler.emit(record('text'))
    handler.emit(record('text'))
    os.close(writer)


@pytest.mark.parametrize('count', [1, 3])
def test_lines_arrive_in_order(count: int) -> None:
    """Lines that are cut or mixed."""
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    for number in range(count):
        handler.emit(record(str(number)))
    expected = ''.join(f'{number}\n' for number in range(count))
    assert os.read(reader, 100) == expected.encode()
    os.close(reader)
    os.close(writer)
