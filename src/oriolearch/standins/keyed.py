"""Stand-in of a keyed server: grants, epochs and a ledger per key."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, FiniteFloat

from oriolearch.core.errors import StaleError
from oriolearch.core.model import FIXED_MARGIN_S, Fencing, KeySource
from oriolearch.ports import Clock
from oriolearch.standins.server import Request, Response
from oriolearch.standins.upstream import (
    Limits,
    Order,
    Reason,
    RefusedError,
    Run,
    UpstreamStandin,
)

SHARD = 'oriolearch-shard'
EPOCH = 'oriolearch-epoch'
KEY = 'oriolearch-key'


class GrantBody(BaseModel):
    """Body of ``POST /grants``.

    :param expires_at: seconds of the server's monotonic clock.
    :param shards: ``(shard, epoch)`` of the whole list; ``None`` renews.
    :param incarnation: incarnation whose clock was read; checked if given.
    :param authority: terms and versions are counted apart for each.
    """

    term: int
    version: int
    expires_at: FiniteFloat
    shards: list[tuple[int, int]] | None
    keys: list[tuple[str, int]] = []
    incarnation: int | None = None
    authority: str = ''


class RevokeBody(BaseModel):
    """Body of ``POST /grants/revoke``.

    :param version: lists before this version are void, if given.
    """

    term: int
    shards: list[int] = []
    keys: list[str] = []
    version: int | None = None
    authority: str = ''


@dataclass(frozen=True, slots=True)
class GrantList:
    """What the server holds of one authority; replaced as a whole.

    :param shards: epoch of each shard.
    :param keys: epoch of each split key.
    """

    term: int = 0
    version: int = 0
    expires_at: float = 0
    shards: dict[int, int] = field(default_factory=dict)
    keys: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Revoked:
    """Revocations, which outlast delayed messages.

    :param shards: highest epoch at which each shard was revoked.
    :param keys: highest epoch at which each split key was revoked.
    :param split: for each revoked key the shards held at that time, in which
        the key no longer belongs to this server.
    """

    shards: dict[int, int] = field(default_factory=dict)
    keys: dict[str, int] = field(default_factory=dict)
    split: dict[str, dict[int, int]] = field(default_factory=dict)


class KeyedStandin(UpstreamStandin):
    """A keyed server on a loopback port.

    :param fencing: whether orders are checked against grants.
    :param key_source: where an order without ``oriolearch-key`` has its key;
        by default the last segment of the path.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        port: int = 0,
        limits: Limits | None = None,
        fencing: Fencing = Fencing.CHECKED,
        key_source: KeySource | None = None,
    ) -> None:
        super().__init__(clock, port, limits)
        self.fencing = fencing
        self.key_source = key_source or KeySource(path_segment=-1)
        self.incarnation = 0
        self.epoch_floor = 0
        self.grants: dict[str, GrantList] = {}
        self.revoked = _Revoked()

    def reset(self) -> None:
        """Start a new incarnation without grants."""
        self.incarnation += 1
        self.epoch_floor = 0
        self.grants = {}
        self.revoked = _Revoked()

    def protocol(self, request: Request) -> Callable[[], Response] | None:
        """Give the answer to calls of the keyed server protocol."""
        match request.method, request.segments:
            case 'GET', ('grants',):
                return self._show_grants
            case 'POST', ('grants',):
                body = GrantBody.model_validate(request.json())
                return lambda: self._stale_as_conflict(
                    lambda: self._accept(body),
                )
            case 'POST', ('grants', 'revoke'):
                revoke = RevokeBody.model_validate(request.json())
                return lambda: self._stale_as_conflict(
                    lambda: self._revoke(revoke),
                )
        return super().protocol(request)

    def check_run(self, order: Order) -> None:
        """Refuse an order for which the server holds no grant."""
        if self.fencing is Fencing.NONE:
            return
        if not self.holds(*_target(order.request), self.key_of(order.request)):
            raise RefusedError(
                Reason.NOT_OWNER,
                HTTPStatus.MISDIRECTED_REQUEST,
            )

    def holds(self, shard: int | None, epoch: int | None, key: str) -> bool:
        """Tell whether an order would run now."""
        if epoch is None or shard is None:
            return False
        now = self.clock.monotonic()
        return any(
            now < grants.expires_at - FIXED_MARGIN_S
            and self._covers(grants, shard, epoch, key)
            for grants in self.grants.values()
        )

    def _covers(
        self,
        grants: GrantList,
        shard: int,
        epoch: int,
        key: str,
    ) -> bool:
        if key in grants.keys:
            # Epoch 0 names a key that another server owns.
            return epoch > 0 and grants.keys[key] == epoch
        if grants.shards.get(shard) != epoch:
            return False
        return self.revoked.split.get(key, {}).get(shard) != epoch

    def run(self, order: Order) -> Run:
        """Carry out an order."""
        shard, epoch = _target(order.request)
        return Run(
            order.attempt,
            order.caller_request,
            self.clock.monotonic(),
            shard,
            epoch,
        )

    def key_of(self, request: Request) -> str:
        """Give the key of an order."""
        key = request.headers.get(KEY)
        if key is not None:
            return key
        if self.key_source.header is not None:
            return request.headers.get(self.key_source.header.lower(), '')
        index = self.key_source.path_segment or 0
        try:
            return request.segments[index]
        except IndexError:
            return ''

    def _stale_as_conflict(
        self,
        answer: Callable[[], dict[str, Any]],
    ) -> Response:
        try:
            return Response.from_json(answer())
        except StaleError as stale:
            self.counts['grants_refused'] += 1
            shown = {
                'error': stale.kind,
                'given': stale.given,
                'known': stale.known,
            }
            return Response.from_json(shown, HTTPStatus.CONFLICT)

    def _show_grants(self) -> Response:
        return Response.from_json(
            {
                'clock': self.clock.monotonic(),
                'incarnation': self.incarnation,
                'epoch_floor': self.epoch_floor,
            },
        )

    def _accept(self, body: GrantBody) -> dict[str, Any]:
        if body.incarnation not in {None, self.incarnation}:
            raise StaleError(
                'incarnation',
                body.incarnation or 0,
                self.incarnation,
            )
        held = self._held(body)
        if body.shards is None:
            self.grants[body.authority] = _renewed(held, body)
        else:
            self._replace(held, body, dict(body.shards))
        is_settled = all(map(self._is_held, self.queue.running))
        return {'clock': self.clock.monotonic(), 'settled': is_settled}

    def _is_held(self, order: Order) -> bool:
        """Tell whether a running order is for a shard of any list."""
        shard, _ = _target(order.request)
        key = self.key_of(order.request)
        return any(
            held.keys.get(key, 1) > 0
            and (shard in held.shards or key in held.keys)
            for held in self.grants.values()
        )

    def _held(self, body: GrantBody | RevokeBody) -> GrantList:
        """Give the list that a message is about, refusing older terms."""
        held = self.grants.get(body.authority, GrantList())
        if body.term < held.term:
            raise StaleError('term', body.term, held.term)
        return held

    def _replace(
        self,
        held: GrantList,
        body: GrantBody,
        shards: dict[int, int],
    ) -> None:
        keys = dict(body.keys)
        if (body.term, body.version) < (held.term, held.version):
            raise StaleError('version', body.version, held.version)
        for shard, epoch in shards.items():
            if epoch <= self.revoked.shards.get(shard, -1):
                raise StaleError(
                    'epoch',
                    epoch,
                    self.revoked.shards[shard],
                )
        for key, epoch in keys.items():
            if epoch == 0:
                continue
            if epoch <= self.revoked.keys.get(key, -1):
                raise StaleError('epoch', epoch, self.revoked.keys[key])
            self.revoked.split.pop(key, None)
        self.grants[body.authority] = GrantList(
            body.term,
            body.version,
            body.expires_at,
            shards,
            keys,
        )
        self.epoch_floor = max(
            self.epoch_floor,
            *shards.values(),
            *keys.values(),
            0,
        )

    def _revoke(self, body: RevokeBody) -> dict[str, Any]:
        """Drop shards and keys, then wait until no order for them runs."""
        held = self._held(body)
        for shard in body.shards:
            if shard in held.shards:
                self.revoked.shards[shard] = held.shards[shard]
        for key in body.keys:
            if key in held.keys:
                self.revoked.keys[key] = held.keys[key]
            self.revoked.split[key] = held.shards
        version = held.version if body.term == held.term else 0
        self.grants[body.authority] = GrantList(
            body.term,
            max(version, body.version or 0),
            held.expires_at,
            _without(held.shards, body.shards),
            _without(held.keys, body.keys),
        )
        while any(self._concerns(order, body) for order in self.queue.running):
            self.wait(self.changed)
        return {'clock': self.clock.monotonic()}

    def _concerns(self, order: Order, body: RevokeBody) -> bool:
        shard, _ = _target(order.request)
        return shard in body.shards or self.key_of(order.request) in body.keys


def _renewed(held: GrantList, body: GrantBody) -> GrantList:
    """Extend the list that is held.

    Versions of different terms are counted by different coordinators, so
    that a renewal must also name the term of the list.
    """
    if body.term != held.term:
        raise StaleError('list term', body.term, held.term)
    if body.version != held.version:
        raise StaleError('version', body.version, held.version)
    expires_at = max(held.expires_at, body.expires_at)
    return replace(held, expires_at=expires_at)


def _target(request: Request) -> tuple[int | None, int | None]:
    """Give shard and epoch of an order."""
    shard = request.headers.get(SHARD)
    epoch = request.headers.get(EPOCH)
    return (
        None if shard is None else int(shard),
        None if epoch is None else int(epoch),
    )


def _without(held: dict[Any, int], gone: list[Any]) -> dict[Any, int]:
    dropped = set(gone)
    return {name: epoch for name, epoch in held.items() if name not in dropped}
