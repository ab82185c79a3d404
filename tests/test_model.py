"""Values that must be the same on every host."""

import pytest

from oriolearch.core import model


@pytest.mark.parametrize(
    ('key', 'shard'),
    [('', 692), ('order-17', 944), ('Cañón', 905)],
)
def test_shard_of_is_the_same_on_every_release(key: str, shard: int) -> None:
    """Fails if the hash changes: keys would go to servers not owning them."""
    assert model.shard_of(key, 1024) == shard


def test_holder_stops_before_the_granter_assumes_expiry() -> None:
    """Fails if a holder with a slow clock uses an expired lease."""
    lease = 1.2
    slow_clock = 1 - model.RATE_MARGIN / 2
    holder_lease = model.subtract_clock_margin(lease) / slow_clock
    assert holder_lease < lease < model.add_clock_margin(lease)
