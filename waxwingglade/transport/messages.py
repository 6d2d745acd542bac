"""Requests and responses of HTTP."""

import msgspec

HeaderList = list[tuple[str, str]]

BODILESS_METHODS = ("GET", "HEAD", "DELETE")
"""Methods whose requests have no Content-Length header if they have no body."""


class HttpRequest(msgspec.Struct, frozen=True):
    """A request with its complete body."""

    method: str
    path: str
    headers: HeaderList
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the request.

        Raises
        ------
        ValueError
            If the head would be parsed differently from what is meant.
        """
        method = self.method.upper()
        lines = [f"{method} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or method not in BODILESS_METHODS:
            lines.append(f"Content-Length: {len(self.body)}")
        head = "\r\n".join([*lines, "", ""])
        breaks = len(lines) + 1
        if head.count("\n") != breaks or head.count("\r") != breaks or "\0" in head:
            raise ValueError("a header breaks its line")
        if lines[0].count(" ") != 2:
            raise ValueError(f"the path {self.path!r} has a space")
        return head.encode("latin-1") + self.body


class HttpResponse(msgspec.Struct):
    """The head of a response, and its body once it was read."""

    status: int
    headers: HeaderList
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the value of the first header of a name, in any case, or None."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None


__all__ = ["HeaderList", "HttpRequest", "HttpResponse"]
