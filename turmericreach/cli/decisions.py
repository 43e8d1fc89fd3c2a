"""The `explain` and `audit` commands, which show decisions and changes."""

import datetime
import re
import sys
import time
from pathlib import Path
from typing import Annotated

import attrs
import msgspec
from cyclopts import Parameter

from turmericreach.audit import AuditRecord, read_audit
from turmericreach.cli.options import Api, ExitCode, Output, Platform, command, print_error
from turmericreach.cli.output import format_time, print_note, show, table
from turmericreach.client import ApiError, OperatorClient
from turmericreach.objectstore import ObjectStoreError
from turmericreach.telemetry.timeline import LogLine, build_timeline, read_lines

__all__ = ["audit", "explain", "parse_since"]

UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


@command
async def explain(
    subject: Annotated[
        str, Parameter(help="Request, attempt, item, lot or sample (lot/group/index).")
    ],
    *,
    logs: Annotated[
        list[Path] | None,
        Parameter(help="Log files or folders to read in place of a gateway; - for standard input."),
    ] = None,
    context: Annotated[
        bool,
        Parameter(help="Include events that changed the state of hosts and targets involved."),
    ] = True,
    output: Output = Output.TABLE,
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Show the decisions about a subject by attempt: which daemon, when and on which evidence."""
    if logs:
        return explain_from_logs(subject, logs, context, output)
    async with api.connect() as connection:
        rows = await OperatorClient(connection).explain(subject)
    known = any(row["request_id"] for row in rows)
    if not known:
        print_note(f"no live daemon has a record of {subject}; each keeps its last 4096 requests")
    parts = [attempt_table(key, group) for key, group in group_by_attempt(rows).items()]
    show(output, rows, *parts)
    return ExitCode.OK if known else ExitCode.NOT_FOUND


def explain_from_logs(subject: str, logs: list[Path], context: bool, output: Output) -> int:
    """Show the timeline of a subject from log lines."""
    try:
        timeline = build_timeline(read_lines(logs, sys.stdin), subject, context)
    except OSError as error:
        return print_error(f"{error.filename}: {error.strerror}", ExitCode.BAD_INPUT)
    if not timeline:
        return print_error(f"no log line is about {subject}", ExitCode.NOT_FOUND)
    cells = [
        (format_time(line.time), line.host, f"({line.event})" if line.context else line.event,
         line.message, format_extra_fields(line))
        for line in timeline
    ]  # fmt: skip
    title = f"{subject}; events in parentheses are about other subjects"
    show(
        output,
        [attrs.asdict(line) for line in timeline],
        table(["time", "host", "event", "what", "inputs"], cells, title),
    )
    return ExitCode.OK


def format_extra_fields(line: LogLine) -> str:
    """Return the fields whose values are not in the message, as one text."""
    extra = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "settings" and str(value) not in line.message
    ]
    return " ".join(extra)


def group_by_attempt(rows: list[dict]) -> dict[tuple[str, str], list[dict]]:
    """Return the decisions by request id and attempt id, ordered by their first decision."""
    groups: dict[tuple[str, str], list[dict]] = {}
    for row in rows:
        groups.setdefault((row["request_id"], row["attempt_id"]), []).append(row)
    return groups


def attempt_table(key: tuple[str, str], rows: list[dict]):
    """Return the table of the decisions about one attempt."""
    request_id, attempt_id = key
    title = f"request {request_id}" if request_id else "daemons that did not respond"
    if attempt_id:
        title += f", attempt {attempt_id}"
    cells = [(format_time(row["at"]), row["daemon"], row["what"], row["evidence"]) for row in rows]
    return table(["time", "daemon", "decision", "evidence"], cells, title)


@command
async def audit(
    *,
    since: Annotated[str, Parameter(help="ISO time, or an age such as 30m, 2h or 7d.")] = "",
    subject: Annotated[str, Parameter(help="Only subjects that start with this text.")] = "",
    actor: Annotated[str, Parameter(help="Only changes made by this actor.")] = "",
    output: Output = Output.TABLE,
    platform: Platform = Platform(),  # noqa: B008 - cyclopts reads the default
    api: Api = Api(),  # noqa: B008 - cyclopts reads the default
) -> int:
    """Show the audit trail: who changed what, and when.

    While the platform is unavailable, only the records that the gateways could not write yet are
    shown.
    """
    after = parse_since(since, time.time())
    code = ExitCode.OK
    store = platform.open()
    try:
        records = await read_audit(store)
    except ObjectStoreError as error:
        print_note(
            f"the platform is unavailable: {error}; showing only the records not yet written"
        )
        code = ExitCode.UNAVAILABLE
        records = await read_unwritten(api)
    finally:
        await store.close()
    selected = [item for item in records if matches(item, after, subject, actor)]
    rows = [attrs.asdict(item) for item in selected]
    columns = ["time", "actor", "action", "subject", "before", "after", "generation", "daemon"]
    cells = [[format_time(row["at"]), *(row[name] for name in columns[1:])] for row in rows]
    show(output, rows, table(columns, cells))
    return code


async def read_unwritten(api: Api) -> list[AuditRecord]:
    """Return the audit records that the gateways could not write yet."""
    async with api.connect() as connection:
        try:
            rows = await OperatorClient(connection).unwritten_audit()
        except ApiError as error:
            print_note(str(error))
            return []
    return [msgspec.convert(row, AuditRecord) for row in rows]


def matches(record: AuditRecord, after: float, subject: str, actor: str) -> bool:
    """Return whether a record passes the filters.

    Gaps pass the filters for subject and actor, since the lost records may have matched them.
    """
    if record.at < after and record.at:
        return False
    if record.action == "gap":
        return True
    return record.subject.startswith(subject) and actor in ("", record.actor)


def parse_since(text: str, now: float) -> float:
    """Return the Unix time in seconds of an ISO time or an age; 0 for an empty text.

    An ISO time without a time zone is taken as UTC.

    Raises
    ------
    ValueError
        If the text is neither an ISO time nor an age.
    """
    if not text:
        return 0.0
    age = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", text)
    if age:
        return now - float(age[1]) * UNIT_SECONDS[age[2]]
    try:
        at = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(f"--since {text!r} is neither an ISO time nor an age such as 2h") from None
    if at.tzinfo is None:
        at = at.replace(tzinfo=datetime.UTC)
    return at.timestamp()
