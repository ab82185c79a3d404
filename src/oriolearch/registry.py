"""A host's registry of the configuration and the upstreams.

Adapters enter the rows of the store. The registry derives which upstreams may
be assigned requests and keys, and notifies its listeners of changes.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from oriolearch.core.directory import (
    Directory,
    Incarnation,
    UpstreamEntry,
)

# An upstream whose entry was removed is assigned nothing new after this delay.
# Entries that expired during an outage of the store are written again within
# about two seconds of its end, so the delay is longer then.
REMOVAL_DELAY_S = 0.3
REMOVAL_DELAY_UNSTABLE_S = 1.6
STORE_UNSTABLE_S = 3.0  # after an outage of the store
# A removed upstream can still be asked to release its keys for this long.
RELEASE_WINDOW_S = 20.0
# An upstream that said that it leaves, and lives on, gets requests again after
# this. Those that leave do so within a minute.
LEAVING_LIMIT_S = 300.0
COLD_MARGIN_S = 0.5  # added to the announced end of a cold start


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed since the listeners were last notified.

    :param upstreams: upstreams whose entries, or whose use, changed.
    :param is_whole: whether the configuration or the zones out of service
        changed, which may affect every upstream.
    """

    upstreams: frozenset[Incarnation]
    is_whole: bool


@dataclass(slots=True)
class _Removed:
    entry: UpstreamEntry
    at: float
    is_effective: bool = False


class Registry:
    """The configuration, the zones out of service and the upstreams.

    :ivar directory: ``None`` until a configuration has been read.
    :ivar removed: upstreams whose entries were removed or replaced.
    :ivar replaced: runs of upstreams whose entries a later run's replaced.
        That proves no end: another writer may have written the later one.
    :ivar leaving_until: by upstream that said that it leaves, until when that
        counts.
    :ivar changed: upstreams that changed since the last notification.
    :ivar has_changed_whole: whether a change since then affects all of them.
    """

    def __init__(self) -> None:
        self.directory: Directory | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.entries: dict[str, UpstreamEntry] = {}
        self.removed: dict[Incarnation, _Removed] = {}
        self.replaced: set[Incarnation] = set()
        self.cold_until: dict[Incarnation, float] = {}
        self.leaving_until: dict[Incarnation, float] = {}
        self.is_read = False
        self.store_outage_at = float('-inf')
        self.listeners: list[Callable[[Changes], None]] = []
        self.is_batching = False
        self.changed: set[Incarnation] = set()
        self.has_changed_whole = False

    def set_directory(self, directory: Directory) -> bool:
        """Apply a configuration unless a newer one is in force."""
        if self.directory and directory.version < self.directory.version:
            return False
        self.directory = directory
        self._notify_whole()
        return True

    def set_zones_out(self, now: float, zones: frozenset[str]) -> None:
        """Set the zones out of service; returning upstreams are cold."""
        back = self.zones_out - zones
        self.zones_out = zones
        for entry in self.entries.values():
            if entry.zone in back:
                self._set_cold(now, entry, self._cold_start_s(entry))
        self._notify_whole()

    def put(self, now: float, entry: UpstreamEntry) -> bool:
        """Apply an upstream's entry unless it is older than the present one.

        A delayed write of an upstream, or one of another writer, may name an
        earlier run or no run at all.

        :returns: whether the entry was applied.
        """
        present = self.entries.get(entry.ref.name)
        if present is not None and _recency(entry) < _recency(present):
            return False
        if present is not None and present.ref != entry.ref:
            self._mark_removed(now, present)
            self.replaced.add(present.ref)
            self.changed.add(present.ref)
        self.removed.pop(entry.ref, None)
        self.entries[entry.ref.name] = entry
        if entry.cold_for_s > 0:
            self._set_cold(now, entry, entry.cold_for_s)
        self._notify(entry.ref)
        return True

    def remove(self, now: float, name: str) -> None:
        """Apply the removal of an entry."""
        present = self.entries.pop(name, None)
        if present is not None:
            self._mark_removed(now, present)
            self._notify(present.ref)

    def record_store_outage(self, now: float) -> None:
        """Record that the store does not answer, or did not until now."""
        self.store_outage_at = now

    def record_cold(
        self, now: float, ref: Incarnation, cold_for_s: float
    ) -> None:
        """Record that an upstream has reported a cold start."""
        entry = self.entries.get(ref.name)
        if (
            entry is not None
            and entry.ref == ref
            and not self.is_cold(now, ref)
        ):
            self._set_cold(now, entry, cold_for_s)
            self._notify(ref)

    def record_leaving(self, now: float, ref: Incarnation) -> None:
        """Record that an upstream has said in an answer that it leaves."""
        if ref not in self.leaving_until:
            self.leaving_until[ref] = now + LEAVING_LIMIT_S
            self._notify(ref)

    def apply_due_removals(self, now: float) -> None:
        """Make removals effective whose delay is over."""
        due = [ref for ref, until in self.leaving_until.items() if now >= until]
        for ref in due:
            del self.leaving_until[ref]
        for ref, removed in list(self.removed.items()):
            if now - removed.at > RELEASE_WINDOW_S:
                del self.removed[ref]
                due.append(ref)
            elif not removed.is_effective and now >= self._effective_at(
                removed
            ):
                removed.is_effective = True
                due.append(ref)
        if due:
            self._notify(*due)

    def find_callable(self, ref: Incarnation) -> UpstreamEntry | None:
        """Return the entry of an upstream if it can be called."""
        entry = self.entries.get(ref.name)
        if entry is not None and entry.ref == ref:
            return entry
        removed = self.removed.get(ref)
        return removed.entry if removed else None

    def callable_upstreams(self, pool: str) -> dict[Incarnation, UpstreamEntry]:
        """Return the upstreams of a pool that can be called."""
        upstreams = {
            removed.entry.ref: removed.entry
            for removed in self.removed.values()
            if removed.entry.pool == pool
        }
        for entry in self.entries.values():
            if entry.pool == pool:
                upstreams[entry.ref] = entry
        return upstreams

    def usable_upstreams(self, pool: str) -> dict[Incarnation, UpstreamEntry]:
        """Return the upstreams of a pool that may be assigned requests."""
        return {
            ref: entry
            for ref, entry in self.callable_upstreams(pool).items()
            if self.is_usable(entry)
        }

    def is_cold(self, now: float, ref: Incarnation) -> bool:
        """Return whether an upstream is in its cold start."""
        return now < self.cold_until.get(ref, 0.0)

    def is_usable(self, entry: UpstreamEntry) -> bool:
        """Return whether a callable upstream may be assigned requests."""
        if entry.is_draining or entry.ref in self.leaving_until:
            return False
        if entry.zone in self.zones_out:
            return False
        removed = self.removed.get(entry.ref)
        return removed is None or not removed.is_effective

    def _effective_at(self, removed: _Removed) -> float:
        if removed.entry.ref in self.replaced:
            return removed.at
        is_unstable = removed.at - self.store_outage_at < STORE_UNSTABLE_S
        delay_s = REMOVAL_DELAY_UNSTABLE_S if is_unstable else REMOVAL_DELAY_S
        return removed.at + delay_s

    def _mark_removed(self, now: float, entry: UpstreamEntry) -> None:
        self.removed[entry.ref] = _Removed(entry, now)

    def _cold_start_s(self, entry: UpstreamEntry) -> float:
        plan = self.directory.pools.get(entry.pool) if self.directory else None
        return plan.cold_start_s if plan else 0.0

    def _set_cold(
        self, now: float, entry: UpstreamEntry, cold_for_s: float
    ) -> None:
        if cold_for_s > 0:
            self.cold_until[entry.ref] = now + cold_for_s + COLD_MARGIN_S

    @contextmanager
    def batch_changes(self) -> Iterator[None]:
        """Notify the listeners once of all changes made in the block."""
        self.is_batching = True
        try:
            yield
        finally:
            self.is_batching = False
            if self.changed or self.has_changed_whole:
                self._notify()

    def _notify_whole(self) -> None:
        self.has_changed_whole = True
        self._notify()

    def _notify(self, *upstreams: Incarnation) -> None:
        self.changed.update(upstreams)
        if self.is_batching:
            return
        changes = Changes(frozenset(self.changed), self.has_changed_whole)
        self.changed.clear()
        self.has_changed_whole = False
        for listener in self.listeners:
            listener(changes)


def _recency(entry: UpstreamEntry) -> tuple[int, int]:
    return entry.ref.started, entry.report
