"""What callers and upstreams must never see, and what they saw."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

NOT_RUN = frozenset((408, 421, 429, 503))  # statuses that promise it
THAW_S = 0.3  # grants that arrive this soon after a thaw are excused
DOUBLE_HOLD_S = 0.5  # two upstreams may hold keys together for no longer


@dataclass(frozen=True, slots=True)
class Hold:
    """Keys that an upstream was granted.

    :ivar is_excused: the grant was held up by a fault on its way.
    """

    owner: str
    first: int
    last: int
    fence: int
    until: float
    is_excused: bool


@dataclass
class Promises:
    """Collects what happens, and each broken promise.

    :ivar seconds: outcomes of each second of the run.
    :ivar holds: current grants of each upstream's life.
    """

    broken: list[str] = field(default_factory=list)
    seconds: dict[int, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter),
    )
    ran: Counter[str] = field(default_factory=Counter)
    refused: dict[str, int] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    holds: dict[str, list[Hold]] = field(default_factory=dict)
    highest: dict[str, list[tuple[int, int, int]]] = field(
        default_factory=lambda: defaultdict(list),
    )

    def fail(self, now: float, text: str) -> None:
        self.broken.append(f'{now:.3f} {text}')

    def asked(self, attempt: str, body: bytes) -> None:
        self.bodies[attempt] = body

    def began(
        self,
        now: float,
        server: str,
        attempt: str,
        key: int,
        body: bytes,
    ) -> None:
        """Take that an upstream begins to work on a request."""
        self.ran[attempt] += 1
        is_safe = attempt.startswith('5afe')
        if self.bodies.get(attempt) != body:
            self.fail(now, f'UNASKED {attempt} at {server}')
        if not is_safe and self.ran[attempt] > 1:
            self.fail(now, f'TWICE {attempt} at {server}')
        if not is_safe and attempt in self.refused:
            status = self.refused[attempt]
            self.fail(now, f'REFUSED {attempt} with {status}, at {server}')
        own = self._holds_of(now, server, key)
        for other in self.holds:
            found = self._holds_of(now, other, key) if other != server else []
            if found and own and not own[0].is_excused | found[0].is_excused:
                self.fail(now, f'OWNER {key}: {own[0]}, {found[0]}')

    def _holds_of(self, now: float, server: str, key: int) -> list[Hold]:
        return [
            hold
            for hold in self.holds.get(server, [])
            if hold.first <= key <= hold.last and hold.until > now
        ]

    def granted(self, now: float, hold: Hold) -> None:
        """Take that an upstream accepted keys; the fence must be new."""
        for other, taken in self.highest.items():
            if other == hold.owner:
                continue
            for first, last, fence in taken:
                overlaps = first <= hold.last and last >= hold.first
                if overlaps and fence >= hold.fence and not hold.is_excused:
                    self.fail(now, f'OWNER fence {fence} of {other}: {hold}')
        self.highest[hold.owner].append((hold.first, hold.last, hold.fence))

    def answered(
        self,
        now: float,
        attempt: str,
        status: int,
        signature: bytes | None,
        body: bytes,
    ) -> None:
        """Take an answer that a caller got."""
        problem = self._problem(attempt, status, signature, body)
        if problem:
            self.fail(now, f'{problem} {attempt}: {status} {body[:40]!r}')
        if status in NOT_RUN:
            self.refused[attempt] = status
            if self.ran[attempt] and not attempt.startswith('5afe'):
                self.fail(now, f'REFUSED {attempt} with {status}, had run')
        outcome = 'failed'
        if status == 200:
            outcome = 'served'
        elif status in NOT_RUN:
            outcome = 'refused'
        self.seconds[int(now)][outcome] += 1

    def _problem(
        self,
        attempt: str,
        status: int,
        signature: bytes | None,
        body: bytes,
    ) -> str:
        """Name the promise that an answer breaks, if any."""
        if status == 200:
            is_whole = body == b'ran:' + self.bodies[attempt]
            is_own = (signature or b'').endswith(attempt.encode())
            return '' if is_whole and is_own else 'MIXED'
        if signature is not None:
            return 'MIXED'
        return 'DENIED' if status == 404 or status // 100 == 3 else ''

    def unanswered(self, now: float, attempt: str, was_calm: bool) -> None:
        """Take that a connection ended, or was silent, without an answer."""
        self.seconds[int(now)]['failed'] += 1
        if was_calm:
            self.fail(now, f'LOST {attempt}')
