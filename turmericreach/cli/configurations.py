"""The `config check` command."""

from pathlib import Path
from typing import Annotated, Any

import attrs
import cyclopts
from cyclopts import Parameter

from turmericreach.cli.options import ExitCode, Output, command
from turmericreach.cli.output import show, table
from turmericreach.configcheck import Finding, Severity, check_configuration, compare
from turmericreach.metadata import MetadataClient, MetadataError
from turmericreach.platform.decoding import DecodeError, Fields, decode_json
from turmericreach.platform.documents import decode_configuration
from turmericreach.platform.store import CONFIGURATION_KIND, CONFIGURATION_NAME
from turmericreach.platform.tenants import keys_by_tenant

__all__ = ["app"]

IN_FORCE = "in-force"
# A command makes one call, so the rate limits of the store do not matter.
CALLS_PER_S = 10.0

app = cyclopts.App(name="config", help="Check configurations of the platform.")


@app.command
@command
async def check(
    file: Path,
    *,
    against: Annotated[
        str, Parameter(help=f"File to compare with, or {IN_FORCE} for the version in force.")
    ] = "",
    store: Annotated[
        str,
        Parameter(help="Address ip:port of the metadata store.", env_var="TURMERICREACH_STORE"),
    ] = "",
    output: Output = Output.TABLE,
) -> int:
    """Check a configuration before it is sent, and show what it would change.

    Exit code 1: there are findings. Exit code 2: wrong arguments, or a file that cannot be read.
    """
    spec = read_spec(file)
    try:
        configuration = decode_configuration(spec)
        findings = check_configuration(configuration)
    except DecodeError as error:
        configuration, findings = None, [Finding(Severity.ERROR, "configuration", str(error))]
    differences = []
    if against and configuration is not None:
        other = await read_in_force(store) if against == IN_FORCE else read_spec(Path(against))
        differences = compare(
            decode_configuration(other), configuration, keys_by_tenant(other), keys_by_tenant(spec)
        )
    value = {
        "findings": [attrs.asdict(finding) for finding in findings],
        "differences": [attrs.asdict(difference) for difference in differences],
    }
    parts = [
        table(
            ["severity", "entry", "problem"],
            [(finding.severity, finding.entry, finding.problem) for finding in findings],
            f"{len(findings)} findings",
        )
    ]
    if against:
        rows = [attrs.astuple(difference) for difference in differences]
        title = f"{len(differences)} differences"
        parts.append(table(["entry", "change", "detail", "affected"], rows, title))
    show(output, value, *parts)
    return ExitCode.FAILED if findings else ExitCode.OK


def read_spec(file: Path) -> Any:
    """Return the configuration in a file, as an operator writes it.

    Raises
    ------
    ValueError
        If the file cannot be read or is not JSON.
    """
    try:
        spec = decode_json(file.read_bytes())
        Fields(spec)
    except OSError as error:
        raise ValueError(f"{file}: {error.strerror}") from error
    except DecodeError as error:
        raise ValueError(f"{file}: {error}") from error
    return spec


async def read_in_force(store: str) -> Any:
    """Return the configuration that the metadata store holds.

    Raises
    ------
    ValueError
        If no address is given, or there is no configuration.
    """
    if not store:
        raise ValueError(f"--store (or TURMERICREACH_STORE) is required with {IN_FORCE}")
    client = MetadataClient(store, CALLS_PER_S, CALLS_PER_S)
    try:
        object = await client.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
    except MetadataError as error:
        raise ValueError(f"the metadata store at {store}: {error}") from error
    finally:
        client.close()
    if object is None:
        raise ValueError(f"the metadata store at {store} holds no configuration")
    return object.spec
