"""The protocol between the forwarder and a platform's encoding."""

from typing import Protocol

from oriolearch.adapters.caller_links import IncomingRequest
from oriolearch.adapters.upstream_links import HttpResponse
from oriolearch.core.directory import UpstreamEntry
from oriolearch.ports import AnswerFacts, RequestHead


class RequestCodec(Protocol):
    """Encodes requests and decodes answers of a platform's protocol."""

    def read_head(self, request: IncomingRequest) -> RequestHead:
        """Decode the fields that determine how a request is handled."""

    def encode(
        self,
        request: IncomingRequest,
        entry: UpstreamEntry,
        left_s: float,
    ) -> bytes:
        """Encode a request for an upstream."""

    def is_answer_to(self, answer: HttpResponse, request_id: bytes) -> bool:
        """Return whether an answer belongs to a request."""

    def decode_facts(self, answer: HttpResponse) -> AnswerFacts:
        """Decode what an answer reports on the request and the upstream."""
