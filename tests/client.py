"""A caller with blocking HTTP requests, for tests."""

import json
import urllib.error
import urllib.request
from collections.abc import Iterator
from typing import Any

from tests.processes import TOKEN


class Caller:
    """Sends requests to one entry.

    Parameters
    ----------
    url : str
        The entry's URL.
    token : str
        Bearer token.
    """

    def __init__(self, url: str, token: str = TOKEN) -> None:
        self.url = url
        self.token = token

    def send(self, method: str, path: str, body: Any = None, timeout_s: float = 30.0) -> Any:
        """Send a request and return the JSON answer, also that of an error status."""
        try:
            with self._open(method, path, body, timeout_s) as answer:
                return json.load(answer)
        except urllib.error.HTTPError as error:
            return json.load(error)

    def stream(self, method: str, path: str, body: Any = None) -> Iterator[Any]:
        """Send a request and yield the events of the answer."""
        headers = {"Accept": "text/event-stream"}
        with self._open(method, path, body, 60.0, headers) as answer:
            for line in answer:
                if line.startswith(b"data: ") and line != b"data: [DONE]\n":
                    yield json.loads(line[len(b"data: ") :])

    def create(self, program_class: str = "appointment", **more: Any) -> str:
        """Create a program and return its id."""
        answer = self.send("POST", "/v1/programs", {"program_class": program_class, **more})
        assert "program" in answer, answer
        return answer["program"]

    def model(self, program: str, call: str, text: str, **more: Any) -> Any:
        """Run a model call and return its answer."""
        return self.send("POST", f"/v1/programs/{program}/calls", model_call(call, text, **more))

    def tool(self, program: str, call: str, tool: str, **arguments: Any) -> Any:
        """Run a tool call and return its answer."""
        body = {"type": "tool", "call": call, "tool": tool, "arguments": arguments}
        return self.send("POST", f"/v1/programs/{program}/calls", body)

    def read(self, program: str) -> Any:
        """Return a program's state and history."""
        return self.send("GET", f"/v1/programs/{program}")

    def end(self, program: str) -> Any:
        """End a program."""
        return self.send("DELETE", f"/v1/programs/{program}")

    def _open(
        self,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ):
        data = None if body is None else json.dumps(body).encode()
        all_headers = {"Authorization": f"Bearer {self.token}", **(headers or {})}
        request = urllib.request.Request(
            self.url + path, data=data, method=method, headers=all_headers
        )
        return urllib.request.urlopen(request, timeout=timeout_s)


def model_call(call: str, text: str, **more: Any) -> dict[str, Any]:
    """Return the body of a model call with one user message."""
    messages = [{"role": "user", "content": text}]
    return {"type": "model", "call": call, "model": "base", "messages": messages, **more}
