"""Tests of TLS between daemons and with callers over sockets, with changing certificates."""

import asyncio
import ssl
from types import SimpleNamespace

import aiohttp
import capnp
import pytest
from blacksheep import Application, Response
from blacksheep.server.routing import Router

from tests.builders.certificates import Authority
from tests.builders.peers import EchoHandler, make_hello, start_server
from turmericreach.daemon.gateway_app import build_app
from turmericreach.httpserver import HttpServer, bind_socket
from turmericreach.rpc import PeerPool, PeerUnreachable
from turmericreach.security import TlsContexts, TokenTable
from turmericreach.settings import TokenSettings
from turmericreach.settings.schema import LimitSettings


async def test_daemons_use_a_new_authority(tmp_path):
    """Guards against a client that keeps using the certificate with which the daemon started."""
    folders = [tmp_path / name for name in ("server", "client", "late")]
    for folder in folders:
        folder.mkdir()
    first = Authority("first")
    serving, calling, late = (TlsContexts(*first.write(folder, "d")) for folder in folders)
    async with capnp.kj_loop():
        server, port = await start_server(EchoHandler(1), serving.server)
        address = f"127.0.0.1:{port}"
        pool = PeerPool(lambda: make_hello("client", 1), lambda: calling.client)
        stale = PeerPool(lambda: make_hello("late", 1), lambda: late.client)
        client = await pool.get(address)
        second = Authority("second")
        for contexts, folder in zip((serving, calling), folders, strict=False):
            second.write(folder, "d")
            assert contexts.reload_if_changed()
        assert await client.control("k", b"open", 5) == b"open"
        pool.evict(address)
        assert await (await pool.get(address)).control("k", b"new", 5) == b"new"
        with pytest.raises(PeerUnreachable):
            await stale.get(address)
        plain = PeerPool(lambda: make_hello("plain", 1))
        with pytest.raises(PeerUnreachable):
            await plain.get(address)
        pool.close()
        await server.stop()


async def fetch(port, authority_file):
    """Return the HTTP status of a request without a client certificate."""
    context = ssl.create_default_context(cafile=authority_file)
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"https://127.0.0.1:{port}/", ssl=context) as response,
    ):
        return response.status


async def test_callers_need_no_certificate_and_see_the_new_one(tmp_path):
    """Guards against callers that must present a certificate, or that are served a former one."""
    Authority("first").write(tmp_path, "g1")
    contexts = TlsContexts(*(tmp_path / name for name in ("cert.pem", "key.pem", "ca.pem")))
    old_authority = tmp_path / "old.pem"
    old_authority.write_bytes((tmp_path / "ca.pem").read_bytes())
    app = Application(router=Router())

    async def home():
        return Response(204)

    app.router.add("GET", "/", home)
    listener = bind_socket("127.0.0.1", 0)
    port = listener.getsockname()[1]
    server = HttpServer(app, listener, LimitSettings(), 1.0, contexts.caller_server)
    await server.start()
    assert await fetch(port, old_authority) == 204
    Authority("second").write(tmp_path, "g1")
    assert contexts.reload_if_changed()
    assert await fetch(port, tmp_path / "ca.pem") == 204
    with pytest.raises(aiohttp.ClientConnectorCertificateError):
        await fetch(port, old_authority)
    await server.stop()


ROLES = {
    "GET /healthz": None,
    "GET /v1/status": {"operator"},
    "GET /v1/targets": {"operator"},
    "GET /v1/targets/x": {"operator"},
    "POST /v1/targets/x/drain": {"operator"},
    "GET /v1/manifest": {"operator"},
    "GET /v1/audit/unwritten": {"operator"},
    "GET /v1/explain/x": {"operator"},
    "GET /v1/lots": {"operator"},
    "POST /v1/lots": {"trainer"},
    "GET /v1/lots/x": {"trainer", "operator"},
    "POST /v1/lots/x/cancel": {"trainer", "operator"},
    "POST /v1/lots/x/pull": {"trainer"},
    "POST /v1/lots/x/ack": {"trainer"},
    "PUT /v1/models/x/version": {"trainer", "operator"},
    "GET /services/x": {"caller"},
    "POST /services/x/y": {"caller"},
}


def gateway_with_tokens():
    """Return a stub of a gateway that has only what authorization needs."""
    tokens = [TokenSettings(name, f"token-{name}", [name]) for name in ALL_ROLES]
    settings = SimpleNamespace(limits=LimitSettings())
    node = SimpleNamespace(settings=settings, leaving=False, manifest=None)
    return SimpleNamespace(
        node=node, tokens=TokenTable(tokens), ready=lambda: True, queries=object()
    )


ALL_ROLES = ("trainer", "caller", "operator")


async def call(app, method, path, token):
    """Return the HTTP status of one ASGI call."""
    headers = [(b"authorization", f"Bearer {token}".encode())] if token else []
    scope = {
        "type": "http", "method": method, "path": path, "raw_path": path.encode(),
        "query_string": b"", "headers": headers, "http_version": "1.1", "scheme": "http",
        "server": ("127.0.0.1", 1), "client": ("127.0.0.1", 2), "asgi": {"version": "3.0"},
        "root_path": "",
    }  # fmt: skip
    sent = []

    async def receive():
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    return sent[0]["status"]


async def test_every_route_requires_its_role():
    """Guards against a new route that requires no role."""
    app = build_app(gateway_with_tokens())
    await app.start()
    for name, roles in ROLES.items():
        method, path = name.split()
        if roles is None:
            assert await call(app, method, path, "") == 200
            continue
        assert await call(app, method, path, "") == 401, name
        assert await call(app, method, path, "token-unknown") == 401, name
        for role in ALL_ROLES:
            status = await call(app, method, path, f"token-{role}")
            assert (status == 403) is (role not in roles), (name, role)
    patterns = {route.pattern for routes in app.router.routes.values() for route in routes}
    listed = sum(any(match(pattern, name.split()[1]) for name in ROLES) for pattern in patterns)
    assert listed == len(patterns)
    await asyncio.sleep(0)


def match(pattern, path):
    """Return whether a pattern of the router matches a path of `ROLES`."""
    text = pattern.decode()
    return path == text.replace("{lot}", "x").replace("{model}", "x").replace(
        "{target}", "x"
    ).replace("{service}", "x").replace("explain/*", "explain/x").replace("/*", "/y")
