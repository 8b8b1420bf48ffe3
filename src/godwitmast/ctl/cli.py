"""The program `godwitctl`."""

import json
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

import anyio
import typer

from godwitmast.config.change import (
    Accepted,
    ChangeOutcome,
    Invalid,
    OutcomeUnknown,
    Stale,
    Unreachable,
)
from godwitmast.config.parsing import parse_document
from godwitmast.config.patch import differences
from godwitmast.ctl.session import CommandFailed, Edit, Session, WaitResult, new_patch
from godwitmast.daemons import EXIT_FAILED, EXIT_USAGE
from godwitmast.errors import ConfigInvalid, PlatformError
from godwitmast.keys.hashing import KEY_PREFIX, generate_key, hash_key
from godwitmast.platform_api.client import PlatformClient
from godwitmast.program import VersionOption
from godwitmast.settings import PlatformSettings
from godwitmast.types import Json

EXIT_CONFLICT = 3
"""The patch was made against a number that is no longer in force."""
EXIT_STRAGGLERS = 4
"""Accepted, but not in force on every entry before the time-out."""
EXIT_UNKNOWN = 5
"""Accepted or not: repeat the command with the same `--id`."""

app = typer.Typer(add_completion=False, no_args_is_help=True)

PlatformOption = Annotated[
    str, typer.Option("--platform", envvar="GODWIT_PLATFORM", help="Platform's URL.")
]
WaitOption = Annotated[
    bool, typer.Option("--wait", help="Return once it is in force everywhere.")
]
TimeoutOption = Annotated[float, typer.Option("--timeout", help="Seconds to wait.")]
ReasonOption = Annotated[str, typer.Option("--reason", help="Kept in the history.")]
DEFAULT_PLATFORM = "http://127.0.0.1:7000"


@app.callback()
def ctl(version: VersionOption = False) -> None:
    """Show and change what the system does.

    Exit codes: 0 done, 1 failed, 2 bad usage or a document that is not valid,
    3 stale patch, 4 accepted but not in force everywhere in time, 5 outcome unknown.
    """


def run(platform: str, work: Callable[[Session], Awaitable[int]]) -> None:
    """Run one command against the platform, and exit with its code."""

    async def main() -> int:
        async with PlatformClient(PlatformSettings(platform), "godwitctl") as client:
            return await work(Session(client))

    try:
        code = anyio.run(main)
    except (CommandFailed, PlatformError) as error:
        typer.echo(f"error: {error}", err=True)
        code = EXIT_FAILED
    raise typer.Exit(code)


def print_json(value: Any) -> None:
    typer.echo(json.dumps(value, indent=2, sort_keys=True))


@app.command()
def show(
    path: Annotated[str, typer.Argument(help="As in teams.NAME.weight.")] = "",
    at: Annotated[int | None, typer.Option(help="An earlier version.")] = None,
    platform: PlatformOption = DEFAULT_PLATFORM,
) -> None:
    """Print the configuration, or a part of it, with its version."""

    async def work(session: Session) -> int:
        part = await session.document(at)
        for name in filter(None, path.split(".")):
            if not isinstance(part, dict) or name not in part:
                raise CommandFailed(f"there is no {path}")
            part = part[name]
        print_json({"version": at or session.state.version, "document": part})
        return 0

    run(platform, work)


@app.command()
def patch(
    file: Annotated[Path, typer.Argument(help="JSON merge patch; - for stdin.")],
    against: Annotated[int, typer.Option(help="The version that you looked at.")],
    patch_id: Annotated[str, typer.Option("--id", help="To repeat a patch.")] = "",
    reason: ReasonOption = "",
    wait: WaitOption = False,
    timeout: TimeoutOption = 15.0,
    platform: PlatformOption = DEFAULT_PLATFORM,
) -> None:
    """Change the configuration with a JSON merge patch (RFC 7386)."""
    body = read_json(file)
    change = new_patch(against, body, reason, patch_id)

    async def work(session: Session) -> int:
        outcome = await session.patch(change)
        if isinstance(outcome, OutcomeUnknown):
            typer.echo(f"repeat with --id {change.patch_id}", err=True)
        return await conclude(session, outcome, wait, timeout)

    run(platform, work)


async def conclude(
    session: Session, outcome: ChangeOutcome, wait: bool, timeout: float
) -> int:
    """Print the outcome of a change, and return the exit code."""
    match outcome:
        case Accepted(number):
            typer.echo(f"accepted as version {number}")
            return tell_waited(await session.wait(number, timeout)) if wait else 0
        case Stale():
            tell_stale(outcome)
            return EXIT_CONFLICT
        case Invalid(problems):
            typer.echo(f"not valid: {problems}", err=True)
            return EXIT_USAGE
        case Unreachable():
            typer.echo("the platform does not answer; nothing was changed", err=True)
            return EXIT_FAILED
        case OutcomeUnknown():
            typer.echo("the outcome is not known", err=True)
            return EXIT_UNKNOWN


def tell_stale(stale: Stale) -> None:
    """Print the changes since the patch's version, and the paths that both change."""
    typer.echo(
        f"conflict: made against version {stale.against}, "
        f"but version {stale.current} is in force. Nothing was changed.",
        err=True,
    )
    for change in stale.changes:
        typer.echo(
            f"  version {change.number} by {change.author or '-'}: "
            f"{json.dumps(change.patch, sort_keys=True)}",
            err=True,
        )
    shared = ", ".join(stale.overlapping) or "none"
    typer.echo(f"  paths that both change: {shared}", err=True)


def tell_waited(waited: WaitResult) -> int:
    if not waited.stragglers:
        typer.echo(f"in force on {waited.nodes} entries after {waited.seconds:.1f} s")
        return 0
    for node in waited.stragglers:
        state = "silent" if node.silent else "behind"
        where = f"{node.node} in {node.zone}"
        typer.echo(f"straggler: {where} has {node.config}, {state}", err=True)
    return EXIT_STRAGGLERS


@app.command()
def history(
    first: Annotated[int, typer.Option(help="The first version to list.")] = 1,
    platform: PlatformOption = DEFAULT_PLATFORM,
) -> None:
    """List the accepted changes with authors and reasons."""

    async def work(session: Session) -> int:
        for change in await session.history(first):
            stamp = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(change.at))
            typer.echo(
                f"{change.number} {stamp} {change.author or '-'} id={change.patch_id} "
                f"{change.reason}".rstrip()
            )
        return 0

    run(platform, work)


@app.command()
def diff(before: int, after: int, platform: PlatformOption = DEFAULT_PLATFORM) -> None:
    """Print where two versions differ."""

    async def work(session: Session) -> int:
        old, new = await session.document(before), await session.document(after)
        for item in differences(old, new):
            typer.echo(f"{item.path}: {as_json(item.before)} -> {as_json(item.after)}")
        return 0

    run(platform, work)


@app.command()
def status(platform: PlatformOption = DEFAULT_PLATFORM) -> None:
    """Print the entries with their configuration, and how far usage is reported."""

    async def work(session: Session) -> int:
        state = await session.current()
        frozen, reported = await session.usage_windows()
        typer.echo(f"version={state.version} frozen={frozen} reported={reported}")
        for node in await session.nodes():
            typer.echo(
                f"node={node.node} zone={node.zone} config={node.config} "
                f"sequence={node.sequence} load={as_json(node.load)}"
            )
        return 0

    run(platform, work)


@app.command()
def grant(
    team: str,
    default_class: Annotated[str, typer.Option("--class", help="Its usual class.")],
    classes: Annotated[list[str] | None, typer.Option(help="Classes allowed.")] = None,
    models: Annotated[list[str] | None, typer.Option(help="Models allowed.")] = None,
    expires_in_s: Annotated[float | None, typer.Option(help="Seconds.")] = None,
    reason: ReasonOption = "grant a key",
    wait: WaitOption = False,
    timeout: TimeoutOption = 15.0,
    platform: PlatformOption = DEFAULT_PLATFORM,
) -> None:
    """Grant a new key to a team and print it; it is shown this once."""
    key = generate_key()
    entry = {
        "team": team,
        "default_class": default_class,
        "classes": classes or [],
        "models": models or [],
        "expires_at": time.time() + expires_in_s if expires_in_s else None,
    }
    granted = {name: value for name, value in entry.items() if value is not None}

    async def work(session: Session) -> int:
        outcome = await session.edit(
            lambda document: {"keys": {hash_key(key): granted}}, reason
        )
        if isinstance(outcome, Accepted):
            typer.echo(f"key {key}")
        return await conclude(session, outcome, wait, timeout)

    run(platform, work)


def edit(platform: str, make: Edit, reason: str, wait: bool, timeout: float) -> None:
    """Run a command whose meaning does not depend on concurrent changes."""

    async def work(session: Session) -> int:
        outcome = await session.edit(make, reason)
        return await conclude(session, outcome, wait, timeout)

    run(platform, work)


@app.command()
def withdraw(
    key: Annotated[str, typer.Argument(help="The key or its hash; - for stdin.")],
    reason: ReasonOption = "withdraw a key",
    wait: WaitOption = False,
    timeout: TimeoutOption = 15.0,
    platform: PlatformOption = DEFAULT_PLATFORM,
) -> None:
    """Withdraw a key; open streams of its callers end within seconds."""
    text = sys.stdin.read().strip() if key == "-" else key
    digest = hash_key(text) if text.startswith(KEY_PREFIX) else text

    def make(document: Json) -> Json:
        if digest not in document.get("keys", {}):
            raise CommandFailed("no such key is granted")
        return {"keys": {digest: None}}

    edit(platform, make, reason, wait, timeout)


@app.command()
def drain(
    backend: str,
    undo: Annotated[bool, typer.Option("--undo", help="Give it work again.")] = False,
    reason: ReasonOption = "drain a backend server",
    wait: WaitOption = False,
    timeout: TimeoutOption = 15.0,
    platform: PlatformOption = DEFAULT_PLATFORM,
) -> None:
    """Give a backend server no new work; what it runs may end."""

    def make(document: Json) -> Json:
        if backend not in document.get("backends", {}):
            raise CommandFailed(f"there is no backend server {backend!r}")
        return {"backends": {backend: {"leaving": not undo}}}

    edit(platform, make, reason, wait, timeout)


@app.command()
def evacuate(
    zone: str,
    reason: ReasonOption = "evacuate an availability zone",
    wait: WaitOption = False,
    timeout: TimeoutOption = 15.0,
    platform: PlatformOption = DEFAULT_PLATFORM,
) -> None:
    """Give the backend servers of an availability zone no new work."""

    async def work(session: Session) -> int:
        known = await session.zones()
        if zone not in known:
            names = ", ".join(sorted(known))
            raise CommandFailed(f"there is no zone {zone!r}; there are {names}")
        outcome = await session.edit(
            lambda document: {"evacuated": {zone: {"reason": reason}}}, reason
        )
        return await conclude(session, outcome, wait, timeout)

    run(platform, work)


@app.command()
def restore(
    zone: str,
    reason: ReasonOption = "give an availability zone back",
    wait: WaitOption = False,
    timeout: TimeoutOption = 15.0,
    platform: PlatformOption = DEFAULT_PLATFORM,
) -> None:
    """Give the backend servers of an evacuated zone work again."""

    def make(document: Json) -> Json:
        if zone not in document.get("evacuated", {}):
            raise CommandFailed(f"zone {zone!r} is not evacuated")
        return {"evacuated": {zone: None}}

    edit(platform, make, reason, wait, timeout)


@app.command()
def check(file: Annotated[Path, typer.Argument(help="A whole document.")]) -> None:
    """Validate a configuration document without the platform."""
    try:
        parse_document(read_json(file))
    except ConfigInvalid as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    typer.echo("the document is valid")


def read_json(file: Path) -> Json:
    """Return the JSON in a file, or print the error and exit."""
    try:
        return json.loads(sys.stdin.read() if str(file) == "-" else file.read_text())
    except (OSError, ValueError) as error:
        typer.echo(f"error: {file}: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from None


def as_json(value: Any) -> str:
    return json.dumps(value, sort_keys=True)


def main() -> None:
    app()


if __name__ == "__main__":
    main()
