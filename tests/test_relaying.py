"""Tables that hosts relay to each other, without a network."""

import asyncio
from collections.abc import Callable

import pytest

from oriolearch.adapters.host_links import decode_line
from oriolearch.core.versions import StoreVersion
from oriolearch.ports import StoredRow, TableState
from oriolearch.relaying import (
    REFILL_S,
    Relay,
    decode_rows,
    discard_rows,
    encode_rows,
)

TABLE = 'servers'


def at(number: int, era: int = 0) -> StoreVersion:
    return StoreVersion(era, number)


def row(
    key: str, number: int, value: bytes | None = b'x', era: int = 0
) -> StoredRow:
    return StoredRow(TABLE, key, value, at(number, era))


class RecordingRelay:
    """A relay that records the rows it applies and forwards."""

    def __init__(self) -> None:
        self.relay = Relay()
        self.applied: list[tuple[str, bool]] = []
        self.sent: list[str] = []
        self.relay.add(TABLE, self.apply)
        self.relay.forward = self.forward

    def apply(self, rows: list[StoredRow], version: StoreVersion) -> None:
        self.applied.extend(
            (changed.key, changed.value is None) for changed in rows
        )

    def forward(
        self, table: str, rows: list[StoredRow], version: StoreVersion
    ) -> None:
        self.sent.extend(changed.key for changed in rows)

    def read(
        self,
        *rows: StoredRow,
        version: int,
        is_whole: bool = False,
        era: int = 0,
    ) -> None:
        state = TableState(rows, at(version, era))
        self.relay.read(TABLE, state, is_whole=is_whole)

    def receive(self, *rows: StoredRow, version: int, era: int = 0) -> None:
        self.relay.receive(encode_rows(TABLE, rows, at(version, era)))


def test_changes_are_applied_and_forwarded_once() -> None:
    """A change that several hosts send must be applied once."""
    host = RecordingRelay()
    host.read(row('a', 1), row('b', 2), version=2, is_whole=True)
    for _ in range(2):
        host.receive(row('b', 2), row('c', 3), version=3)
    assert host.applied == [('a', False), ('b', False), ('c', False)]
    assert host.sent == ['a', 'b', 'c']
    assert host.relay.versions() == {TABLE: at(3)}


@pytest.mark.parametrize(
    ('sent', 'is_applied'),
    [
        pytest.param(row('b', 50), False, id='removed before the read'),
        pytest.param(row('b', 101), True, id='added after the read'),
        pytest.param(row('b', 99, None), False, id='removal known already'),
    ],
)
def test_row_that_a_whole_read_did_not_list(
    sent: StoredRow, is_applied: bool
) -> None:
    """Guard against a server that has left and is used after a restart.

    A host that started read the whole table and then got rows of another host
    that lagged behind. The removed server was back in use until that host had
    caught up, which may take as long as an outage of the store.
    """
    host = RecordingRelay()
    host.read(row('a', 1), version=100, is_whole=True)
    host.receive(sent, version=sent.version.number)
    assert host.applied == [('a', False), ('b', False)][: 1 + is_applied]
    assert host.sent == ['a', 'b'][: 1 + is_applied]


def test_older_row_changes_nothing() -> None:
    """A late update from a slow host must not restore a removed row."""
    host = RecordingRelay()
    host.read(row('a', 1), version=1, is_whole=True)
    host.receive(row('a', 5, None), version=5)
    host.receive(row('a', 4), version=4)
    assert host.applied == [('a', False), ('a', True)]
    assert host.relay.versions() == {TABLE: at(5)}


def test_rows_missing_from_a_whole_table_are_removed() -> None:
    """An upstream may leave while the store's history is lost."""
    host = RecordingRelay()
    host.read(row('a', 1), row('b', 2), version=2, is_whole=True)
    host.read(row('b', 2), version=9, is_whole=True)
    assert host.applied[-1] == ('a', True)
    host.read(row('b', 2), version=10, is_whole=True)
    assert host.applied.count(('a', True)) == 1


def test_empty_table_counts_as_read() -> None:
    """A host must become ready even if there is no upstream."""
    host = RecordingRelay()
    assert not host.relay.is_read()
    host.read(version=1, is_whole=True)
    assert host.relay.is_read()


def test_rows_since_a_version() -> None:
    """A host that connects late must receive removals too."""
    host = RecordingRelay()
    host.read(row('a', 1), row('b', 2), version=2, is_whole=True)
    host.receive(row('a', 7, None), version=7)
    late = host.relay.mirrors[TABLE].rows_since(at(2))
    assert [(changed.key, changed.value) for changed in late] == [('a', None)]


def test_rows_survive_the_message() -> None:
    """Values may contain bytes that are not valid UTF-8."""
    rows = [row('a', 1, bytes(range(256))), row('b', 2, None)]
    assert decode_rows(encode_rows(TABLE, rows, at(5))) == (
        TABLE,
        rows,
        at(5),
    )


@pytest.mark.parametrize(
    'message',
    [
        {},
        {'table': 't', 'version': 'new', 'rows': []},
        {'table': 't', 'version': 1, 'rows': None},
        {'table': 't', 'version': 1, 'rows': [['key']]},
        {'table': 't', 'version': 1, 'rows': [['key', 5, 1]]},
    ],
)
def test_malformed_rows_are_an_error(message: dict[str, object]) -> None:
    """A malformed message must raise ValueError, which its task catches."""
    with pytest.raises(ValueError):
        decode_rows(message)


@pytest.mark.parametrize('has_new_coordinator', [False, True])
def test_new_follower_forwards_what_the_coordinator_lacks(
    has_new_coordinator: bool,
) -> None:
    """Guard against a change that stays with the host that read it.

    An open poll of a host that no longer followed the table read a new
    configuration. The host was then chosen to follow the table for a
    coordinator without store, and had nothing new to forward. Another
    coordinator may lack what its predecessor has sent.
    """
    recorder = RecordingRelay()
    recorder.relay.forward = discard_rows
    rows = [row('known', 5)]
    recorder.relay.receive(encode_rows(TABLE, rows, at(5)))
    if has_new_coordinator:
        recorder.relay.receive(encode_rows(TABLE, [row('new', 6)], at(6)))
        recorder.relay.start_receiving()
        recorder.relay.receive(encode_rows(TABLE, [], at(5)))
    recorder.read(row('known', 5), row('new', 6), version=6)
    recorder.relay.start_forwarding(recorder.forward)
    assert recorder.sent == ['new']


def test_changes_for_new_hosts_are_encoded_once_and_kept_up_to_date() -> None:
    """Encoding a large table for each host would delay heartbeats."""
    host = RecordingRelay()
    host.read(row('a', 1), row('b', 2), version=2)
    first = next(host.relay.lines_since({TABLE: at(1)}))
    assert next(host.relay.lines_since({TABLE: at(1)})) is first
    assert [sent.key for sent in decode_rows(decode_line(first))[1]] == ['b']
    host.read(row('c', 3), version=3)
    later = next(host.relay.lines_since({TABLE: at(1)}))
    _, rows, version = decode_rows(decode_line(later))
    assert ([sent.key for sent in rows], version) == (['b', 'c'], at(3))


class RestoredHost(RecordingRelay):
    """A host whose store comes back from an earlier copy.

    It knew row ``kept``, a removal of ``gone`` and a change of ``changed``.
    The copy has all of them as they were before, and lacks ``added``.
    """

    COPY = (
        row('kept', 1, era=2),
        row('gone', 2, era=2),
        row('changed', 3, b'old', era=2),
    )

    def __init__(self) -> None:
        super().__init__()
        self.read(row('kept', 1), row('gone', 2), version=2)
        self.read(row('changed', 3, b'old'), version=3)
        self.read(row('added', 6), row('gone', 7, None), version=7)
        self.read(row('changed', 8, b'new'), version=8)
        self.applied.clear()
        self.sent.clear()

    def read_copy(self, *rows: StoredRow, version: int = 3) -> None:
        self.read(*rows, version=version, is_whole=True, era=2)


def refill(host: RestoredHost) -> None:
    host.read(row('added', 4, era=2), version=4, era=2)


def change(host: RestoredHost) -> None:
    host.read(row('added', 4, b'y', era=2), version=4, era=2)


def read_late(host: RestoredHost) -> None:
    """Read the table once the operator and the servers had time to write."""
    mirror = host.relay.mirrors[TABLE]
    assert mirror.refill_ends_at is not None
    mirror.refill_ends_at -= REFILL_S
    host.read_copy(*host.COPY, version=4)


def hear_old_row(host: RestoredHost) -> None:
    host.receive(row('kept', 9, b'late'), row('new', 9), version=9)


@pytest.mark.parametrize(
    ('event', 'applied'),
    [
        pytest.param(None, [], id='nothing is removed at once'),
        pytest.param(refill, [], id='written again'),
        pytest.param(change, [('added', False)], id='changed'),
        pytest.param(
            read_late, [('gone', False), ('added', True)], id='still missing'
        ),
        pytest.param(hear_old_row, [], id='host that lags behind'),
    ],
)
def test_rows_that_a_restored_store_lacks(
    event: Callable[[RestoredHost], None] | None,
    applied: list[tuple[str, bool]],
) -> None:
    """Guard against a zone or an upstream that is back in use for a moment.

    A copy of the store lacks what the operator and the servers wrote since,
    until they write it again.
    """

    async def run() -> None:
        host = RestoredHost()
        host.read_copy(*host.COPY)
        assert host.applied == [('changed', False)]
        host.applied.clear()
        if event is not None:
            event(host)
        assert host.applied == applied

    asyncio.run(run())


@pytest.mark.parametrize('number', [3, 8, 9])
def test_row_of_a_new_era_is_applied_whatever_its_number(number: int) -> None:
    """Guard against a configuration that is ignored for good (CONFIG).

    The store had given the number of its row to an earlier one before it came
    back from a copy of before that.
    """

    async def run() -> None:
        host = RestoredHost()
        host.receive(
            row('changed', number, b'newest', era=2), version=number, era=2
        )
        assert host.applied == [('changed', False)]
        assert host.sent == ['changed']
        assert host.relay.versions() == {TABLE: at(number, 2)}
        late = host.relay.mirrors[TABLE].rows_since(at(9))
        assert {changed.key for changed in late} == {
            'kept',
            'gone',
            'changed',
            'added',
        }

    asyncio.run(run())
