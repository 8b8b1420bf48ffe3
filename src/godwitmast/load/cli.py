"""The program `godwit-load`."""

import typer

from godwitmast.load.decision_cost import decision_cost
from godwitmast.load.moves import moves
from godwitmast.load.passthrough import passthrough
from godwitmast.load.peers import peers
from godwitmast.load.play import play
from godwitmast.load.run import compare, run
from godwitmast.load.slopes import slopes
from godwitmast.load.spend import spend
from godwitmast.program import VersionOption

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def load(version: VersionOption = False) -> None:
    """Play scenarios in virtual time, and send load over HTTP.

    Exit codes: 0 done, 1 failed, 2 bad usage or settings not valid.
    """


app.command("play")(play)
app.command("decision-cost")(decision_cost)
app.command("passthrough")(passthrough)
app.command("spend")(spend)
app.command("peers")(peers)
app.command("moves")(moves)
app.command("slopes")(slopes)
app.command("run")(run)
app.command("compare")(compare)


def main() -> None:
    app()


if __name__ == "__main__":
    main()
