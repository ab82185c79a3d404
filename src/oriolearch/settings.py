"""Settings of a host: JSON with comments, validated by models."""

from pathlib import Path
from typing import Annotated, Any

import json5
from pydantic import Field, model_validator

from oriolearch.core.errors import ValidationError
from oriolearch.schema import Address, Name, StrictModel, parse

PositiveSeconds = Annotated[float, Field(gt=0, le=86400)]
Threads = Annotated[int, Field(ge=1, le=1024)]


class HostSettings(StrictModel):
    """The name and zone of this host."""

    name: Name
    zone: Name


class EntrySettings(StrictModel):
    """The address and limits of the entry for callers.

    ``stop_limit_s`` limits a graceful shutdown, including uploads.
    """

    address: Address
    threads: Threads = 64
    upload_threads: Threads = 16
    stop_limit_s: PositiveSeconds = 300.0


class PeerSettings(StrictModel):
    """The address for other hosts, and peers to contact first on startup."""

    address: Address
    seeds: tuple[Address, ...] = ()


class TlsSettings(StrictModel):
    """PEM files of the administration API.

    Clients must present a certificate if ``client_ca`` is set.
    """

    certificate: Path
    key: Path
    client_ca: Path | None = None


class TokenSettings(StrictModel):
    """A bearer token, stored as the hexadecimal SHA-256 of its text."""

    name: Name
    sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


class AdminSettings(StrictModel):
    """The administration API; loopback addresses only without TLS."""

    address: Address
    tokens: Annotated[tuple[TokenSettings, ...], Field(min_length=1)]
    tls: TlsSettings | None = None

    @model_validator(mode='after')
    def check_tls(self) -> 'AdminSettings':
        """Reject an unencrypted API that other machines can reach."""
        if self.tls is None and not self.address.startswith('127.'):
            raise ValueError(
                'tls is required for an address outside 127.0.0.0/8'
            )
        return self


class PlatformSettings(StrictModel):
    """The platform's table service, object store and host list."""

    address: Address
    timeout_s: PositiveSeconds = 1.0


class ZoneSettings(StrictModel):
    """A zone; ``adopter`` takes over its movable shards if the zone fails."""

    name: Name
    region: Name
    adopter: Name | None = None


class TelemetrySettings(StrictModel):
    """Logs and traces; ``trace_ratio`` is the fraction of requests traced."""

    level: Annotated[str, Field(pattern='^(DEBUG|INFO|WARNING|ERROR)$')] = (
        'INFO'
    )
    trace_ratio: Annotated[float, Field(ge=0, le=1)] = 0.0


class Settings(StrictModel):
    """The settings of one host."""

    host: HostSettings
    entry: EntrySettings
    peers: PeerSettings
    admin: AdminSettings
    platform: PlatformSettings
    zones: Annotated[tuple[ZoneSettings, ...], Field(min_length=1)]
    telemetry: TelemetrySettings = TelemetrySettings()

    @model_validator(mode='after')
    def check_zones(self) -> 'Settings':
        """Reject a reference to a zone that is not listed."""
        names = {zone.name for zone in self.zones}
        referenced = {zone.adopter for zone in self.zones if zone.adopter}
        unknown = sorted((referenced | {self.host.zone}) - names)
        if unknown:
            raise ValueError(f'zone {unknown[0]!r} is not listed in zones')
        return self

    def adopters(self) -> dict[str, str | None]:
        """Return the adopter of each zone."""
        return {zone.name: zone.adopter for zone in self.zones}


def read_json(path: Path) -> Any:
    """Read a JSON file that may contain comments.

    :raises ValidationError: if the file is unreadable or has a syntax
        error; names the file and the line.
    """
    try:
        return json5.loads(path.read_text('utf-8'), allow_duplicate_keys=False)
    except (OSError, ValueError, RecursionError) as error:
        raise ValidationError(
            str(path),
            '(file)',
            path.name,
            str(error).replace('<string>:', 'line '),
        ) from error


def read_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    :raises ValidationError: if the file is invalid; names the file, the
        field or line, and the value.
    """
    return parse(Settings, str(path), read_json(path))
