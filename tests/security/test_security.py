"""Tests of mutual TLS with reloaded files, and of bearer tokens."""

import asyncio
import ssl

import pytest

from tests.builders.certificates import Authority
from turmericreach.security import TlsContexts, TlsError, TokenRole, TokenTable
from turmericreach.settings import TokenSettings
from turmericreach.verdicts import ErrorCode, RequestError, Verdict


async def echo(reader, writer):
    while line := await reader.readline():
        writer.write(line)
    writer.close()


async def ping(reader, writer):
    writer.write(b"ping\n")
    return await asyncio.wait_for(reader.readline(), 5)


@pytest.fixture
async def setup(tmp_path):
    """TLS contexts of a daemon, their authority, the port of an echo server, and the PEM folder."""
    authority = Authority("first")
    contexts = TlsContexts(*authority.write(tmp_path, "g1"))
    server = await asyncio.start_server(echo, "127.0.0.1", 0, ssl=contexts.server)
    yield contexts, authority, server.sockets[0].getsockname()[1], tmp_path
    server.close()


async def connect(context, port):
    return await asyncio.open_connection("127.0.0.1", port, ssl=context)


async def test_reload_changes_new_connections_only(setup):
    """Guards against a reload that closes connections or that leaves the former files in use."""
    contexts, _, port, folder = setup
    former_client = contexts.client
    old = await connect(former_client, port)
    assert await ping(*old) == b"ping\n"
    assert contexts.reload_if_changed() is False
    Authority("second").write(folder, "g1")
    assert contexts.reload_if_changed() is True
    new = await connect(contexts.client, port)
    assert await ping(*new) == b"ping\n"
    assert await ping(*old) == b"ping\n"
    with pytest.raises((ssl.SSLError, ConnectionError)):
        await ping(*await connect(former_client, port))
    for _, writer in (old, new):
        writer.close()


async def test_peer_without_certificate_is_refused(setup):
    """Guards against a server that accepts peers without a certificate."""
    _, _, port, folder = setup
    context = ssl.create_default_context(cafile=folder / "ca.pem")
    with pytest.raises((ssl.SSLError, ConnectionError, AssertionError)):
        assert await ping(*await connect(context, port)) == b"ping\n"


async def test_peer_of_another_authority_is_refused(setup, tmp_path_factory):
    """Guards against a certificate that is not verified, at the client or at the server."""
    _, _, port, folder = setup
    other = tmp_path_factory.mktemp("other")
    untrusted = TlsContexts(*Authority("other").write(other, "g1"))
    with pytest.raises(ssl.SSLCertVerificationError):
        await connect(untrusted.client, port)
    context = ssl.create_default_context(cafile=folder / "ca.pem")
    context.load_cert_chain(other / "cert.pem", other / "key.pem")
    with pytest.raises((ssl.SSLError, ConnectionError, AssertionError)):
        assert await ping(*await connect(context, port)) == b"ping\n"


async def test_unusable_files_keep_the_former_ones(setup):
    """Guards against a daemon that fails while its files are replaced one by one."""
    contexts, authority, port, folder = setup
    certificate = (folder / "cert.pem").read_bytes()
    authority.write(folder, "g1")
    (folder / "cert.pem").write_bytes(certificate)
    assert contexts.reload_if_changed() is False
    (folder / "key.pem").unlink()
    assert contexts.reload_if_changed() is False
    reader, writer = await connect(contexts.client, port)
    assert await ping(reader, writer) == b"ping\n"
    writer.close()
    with pytest.raises(TlsError):
        TlsContexts(folder / "cert.pem", folder / "key.pem", folder / "ca.pem")
    authority.write(folder, "g1")
    assert contexts.reload_if_changed() is True


TABLE = TokenTable(
    [TokenSettings("fittings", "t-1", ["trainer"]), TokenSettings("ops", "t-2", ["operator"])]
)


def test_known_token_with_role():
    """Guards against a token that identifies the wrong caller."""
    assert TABLE.authorize("Bearer t-1", TokenRole.TRAINER) == "fittings"
    assert TABLE.authorize(b"bearer  t-2 ", "operator") == "ops"
    assert TokenTable([]).authorize(None, TokenRole.OPERATOR) == "anonymous"


@pytest.mark.parametrize(
    ("header", "status", "code"),
    [
        (None, 401, ErrorCode.UNAUTHORIZED),
        ("", 401, ErrorCode.UNAUTHORIZED),
        ("Bearer", 401, ErrorCode.UNAUTHORIZED),
        ("Basic t-1", 401, ErrorCode.UNAUTHORIZED),
        ("Bearer t-3", 401, ErrorCode.UNAUTHORIZED),
        ("Bearer t-1 t-2", 401, ErrorCode.UNAUTHORIZED),
        (b"Bearer \xff\xfe", 401, ErrorCode.UNAUTHORIZED),
        ("Bearer " + "x" * 10**6, 401, ErrorCode.UNAUTHORIZED),
        ("Bearer t-1", 403, ErrorCode.FORBIDDEN),
    ],
)
def test_unauthorized_requests_are_refused(header, status, code):
    """Guards against an unauthorized request that is accepted or refused without a stable code."""
    with pytest.raises(RequestError) as caught:
        TABLE.authorize(header, TokenRole.OPERATOR)
    error = caught.value
    assert (error.status, error.code, error.verdict) == (status, code, Verdict.NOT_RUN)
    assert "t-1" not in str(error)
