"""Guards the values that every host must compute alike."""

import pytest

from oriolearch.core import model


@pytest.mark.parametrize(
    ('key', 'shard'),
    [('', 692), ('order-17', 944), ('Cañón', 905)],
)
def test_shard_of_is_the_same_on_every_release(key: str, shard: int) -> None:
    """A changed hash would send keys to servers that do not own them."""
    assert model.shard_of(key, 1024) == shard


def test_holder_counts_shorter_than_granter() -> None:
    """A holder with a slow clock must not outlast its lease."""
    lease = 1.2
    slow_clock = 1 - model.RATE_MARGIN / 2
    held = model.shortened(lease) / slow_clock
    assert held < lease < model.lengthened(lease)
