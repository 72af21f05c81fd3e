"""Requests over TLS, with a self-signed certificate."""

import datetime
import ipaddress
import json
import ssl

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from pydantic import ValidationError

from ebonyglade_entry.settings import EntrySettings, HttpSection
from ebonyglade_lab.fleet import Fleet, FleetSize

START = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
END = datetime.datetime(2120, 1, 1, tzinfo=datetime.UTC)


@pytest.fixture
def certificate(tmp_path):
    """Write a self-signed certificate and its key; return their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "entry")])
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    signed = (
        x509.CertificateBuilder(name, name, key.public_key(), 1, START, END)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    key_format = serialization.PrivateFormat.PKCS8
    no_encryption = serialization.NoEncryption()
    paths = tmp_path / "entry.pem", tmp_path / "entry.key"
    paths[0].write_bytes(signed.public_bytes(pem))
    paths[1].write_bytes(key.private_bytes(pem, key_format, no_encryption))
    return [str(path) for path in paths]


async def test_caller_is_served_over_tls(certificate):
    fleet = Fleet(FleetSize(entries=0, prefill=0, decode=0, service=0))
    await fleet.start()
    document = fleet.node_settings("entry-1")
    document["http"] = {"port": 0, "leave_s": 0}
    document["http"] |= dict(
        zip(("certificate", "private_key"), certificate, strict=True)
    )
    entry = await fleet.start_entry(EntrySettings.model_validate(document))
    trusted = ssl.create_default_context(cafile=certificate[0])
    url = f"https://127.0.0.1:{entry.http.port}/nowhere"
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, ssl=trusted) as answer,
        ):
            error = json.loads(await answer.text())["error"]
            assert error["code"] in ("route_unknown", "starting")
    finally:
        await fleet.stop()


def test_certificate_without_private_key_is_rejected():
    with pytest.raises(ValidationError, match="go together"):
        HttpSection(certificate="entry.pem")
