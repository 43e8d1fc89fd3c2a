"""A certificate authority and certificates for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


def make_name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


class Authority:
    """A certificate authority; its certificates name 127.0.0.1 and are valid for a day."""

    def __init__(self, name):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = make_name(name)
        self.certificate = self.sign(self.name, self.key.public_key(), True)

    def sign(self, subject, public_key, is_ca):
        now = datetime.datetime.now(datetime.UTC)
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = x509.CertificateBuilder(self.name, subject, public_key)
        builder = builder.serial_number(x509.random_serial_number())
        builder = builder.not_valid_before(now - datetime.timedelta(days=1))
        builder = builder.not_valid_after(now + datetime.timedelta(days=1))
        builder = builder.add_extension(x509.BasicConstraints(is_ca, None), True)
        builder = builder.add_extension(x509.SubjectAlternativeName([address]), False)
        return builder.sign(self.key, hashes.SHA256())

    def write(self, folder, common_name):
        """Write certificate, key and CA of a daemon and return their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self.sign(make_name(common_name), key.public_key(), False)
        paths = [folder / name for name in ("cert.pem", "key.pem", "ca.pem")]
        pem = serialization.Encoding.PEM
        private = serialization.PrivateFormat.PKCS8
        paths[0].write_bytes(certificate.public_bytes(pem))
        paths[1].write_bytes(key.private_bytes(pem, private, serialization.NoEncryption()))
        paths[2].write_bytes(self.certificate.public_bytes(pem))
        return paths
