"""The program `godwit-burn`."""

import typer

from godwitmast.program import VersionOption

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def burn(version: VersionOption = False) -> None:
    """Report attainment and the burn of error budgets.

    Exit codes: 0 done, 1 failed, 2 bad usage or settings not valid.
    """


def main() -> None:
    app()


if __name__ == "__main__":
    main()
