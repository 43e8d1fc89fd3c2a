"""A fake gateway that returns prepared responses over HTTP, in a thread of its own."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class FakeGateway:
    """Responds by method and path, and with 404 to anything else.

    `answers` holds the responses by ``"METHOD path"``; each is a value, a `Sequence`, or a tuple of
    status and value.
    """

    def __init__(self, answers):
        self.answers = answers
        self.calls = []
        gateway = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def respond(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                status, value = gateway.next_response(self.command, self.path, body)
                raw = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            do_GET = do_POST = do_PUT = respond  # noqa: N815 - names of the standard library

            def log_message(self, *args):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        self.thread.start()

    @property
    def url(self):
        return f"http://127.0.0.1:{self.server.server_address[1]}"

    def next_response(self, method, path, body):
        self.calls.append((method, path, json.loads(body) if body else None))
        response = self.answers.get(f"{method} {path}")
        if isinstance(response, Sequence):
            response = response.next()
        if response is None:
            error = {"code": "bad_request", "message": "no such path", "verdict": "not_run"}
            return 404, {"error": error}
        return response if isinstance(response, tuple) else (200, response)

    def stop(self):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


class Sequence:
    """Responses that are returned one after another; the last one is repeated."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def next(self):
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


def member(name, generation, state="live"):
    """Return the row of a daemon in a status."""
    return {
        "name": name,
        "role": "agent",
        "data_centre": "turku",
        "state": state,
        "generation": generation,
        "age_s": 0.1,
    }


def status(*members, platform_up=True):
    """Return the status of a daemon with these members."""
    return {
        "daemon": "g1",
        "uptime_s": 60.0,
        "platform_up": platform_up,
        "platform_down_s": 0.0 if platform_up else 12.0,
        "config": {"generation": 1, "change_id": "c1"},
        "confirmed": len(members),
        "unconfirmed": [],
        "members": list(members),
        "duties": {"audit-config": "g1"},
        "wanted": [
            {"model": "assistant", "version": 3, "phase": "activate"},
            {"model": "assistant", "version": 4, "phase": "prepare"},
        ],
    }
