"""One HTTP answer that goes on and on: its body as it comes, chunked or not."""

from __future__ import annotations

import httptools


class HttpError(Exception):
    """The answer is no HTTP, or not the one that was asked for."""


class ResponseBodyParser:
    def __init__(self) -> None:
        self._http = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self.complete = False

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self.complete = True

    def feed(self, data: bytes) -> bytes:
        """What these bytes add to the body of an answer with status 200."""
        try:
            self._http.feed_data(data)
        except httptools.HttpParserError as wrong:
            raise HttpError(str(wrong)) from wrong
        body, self._body = b"".join(self._body), []
        if body and self._http.get_status_code() != 200:
            raise HttpError(f"status {self._http.get_status_code()}: {body[:200].decode('utf-8', 'replace')}")
        return body
