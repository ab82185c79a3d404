"""The log handler that does not block on its reader."""

import json
import logging
import os
import time

import pytest

from oriolearch.eventlog import PIPE_BYTES, PipeHandler


def record(text: str) -> logging.LogRecord:
    return logging.LogRecord('oriolearch', logging.INFO, '', 0, text, (), None)


def test_full_pipe_does_not_block() -> None:
    """A host must not hang because nobody reads its log.

    The next line that is written is preceded by the count of dropped lines.
    """
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    line = json.dumps({'text': 'x' * 1000})
    began = time.monotonic()
    for _ in range(500):
        handler.emit(record(line))
    assert time.monotonic() - began < 2
    assert handler.dropped > 0
    assert len(handler.pending) <= PIPE_BYTES
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
    """A host must survive the reader of its log."""
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    os.close(reader)
    handler.emit(record('text'))
    handler.emit(record('text'))
    os.close(writer)


@pytest.mark.parametrize('count', [1, 3])
def test_lines_arrive_in_order(count: int) -> None:
    """Lines must not be truncated or interleaved."""
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    for number in range(count):
        handler.emit(record(str(number)))
    expected = ''.join(f'{number}\n' for number in range(count))
    assert os.read(reader, 100) == expected.encode()
    os.close(reader)
    os.close(writer)
