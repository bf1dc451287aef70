"""Incremental reading of the body of one HTTP response, chunked or not."""

from __future__ import annotations

import httptools


class HttpError(Exception):
    """The response is not valid HTTP, or its status is not 200."""


class ResponseBodyParser:
    """Extracts the body of a response whose bytes arrive in pieces; receives the callbacks of httptools."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._chunks: list[bytes] = []
        self.complete = False

    def on_body(self, body: bytes) -> None:
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        self.complete = True

    def feed(self, data: bytes) -> bytes:
        """Return the part of the response body that ``data`` contains."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpError(str(error)) from error
        body, self._chunks = b"".join(self._chunks), []
        if body and self._parser.get_status_code() != 200:
            raise HttpError(
                f"status {self._parser.get_status_code()}: {body[:200].decode('utf-8', 'replace')}"
            )
        return body
