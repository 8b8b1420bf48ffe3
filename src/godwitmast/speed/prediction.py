"""The predicted times of a prompt on a server, and their cost, all in seconds.

Load pattern: prompts of 17,000 tokens beside short ones whose streams may pause for no
more than 150 ms. An engine prefills a chunk of a prompt in each step, so that the
streams that run there pause at each event until the prompt is prefilled.

A prediction is within a quarter of what is observed for half of the prompts. So the risk
of missing a target rises from `SAFE_SHARE` of it, and a request that misses a target
costs the same however it does: by its first token, by a pause that it suffers, or by
one that it causes to another request.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from godwitmast.types import BackendId

SAFE_SHARE = 0.6
CERTAIN_SHARE = 1.4
"""A request predicted at the first share of its target is in time, at the second it is
late: twice the median error of predictions on either side, rounded."""

LATE_S = 0.5
"""Cost of a late request: how long another request may wait to avoid it. The strictest
first tokens are due in 0.3 s, most in 0.6 to 2.5 s."""

COPY_SHARE = 0.25
"""Time to copy a token's KV cache from another engine, relative to prefilling it: four
times as fast, over links that other copies share."""

REPEATED_FACTOR = 2.0
"""Cost to others of prefilling a shared token again, relative to its time: the server's
time, and cache memory that another part then lacks."""

OTHER_ZONE_S = 0.005
"""Cost of another availability zone: about two round trips between zones. It decides
between servers that are otherwise about as good, since bytes between zones are paid
for."""


@dataclass(frozen=True, slots=True)
class Cached:
    """The server is taken to hold the shared parts."""


@dataclass(frozen=True, slots=True)
class PrefillAgain:
    """The server prefills shared tokens that another one holds."""

    tokens: float


@dataclass(frozen=True, slots=True)
class Copy:
    """The server copies shared tokens from another one."""

    tokens: float
    source: BackendId


PrefixUse = Cached | PrefillAgain | Copy
"""What becomes of a prompt's shared parts on a server."""


class Rates(NamedTuple):
    """How fast a server works now: its slowness, and what is usual in its pool."""

    slowness: float
    step_s: float
    tokens_per_s: float

    def prefill_s(self, tokens: float) -> float:
        return self.slowness * tokens / self.tokens_per_s

    def pause_s(self, tokens: float, gap_tokens: float) -> float:
        """Return the time between two events beside a prompt with tokens to be
        prefilled, of which `gap_tokens` are prefilled between two events at most."""
        chunk_s = min(tokens, gap_tokens) / self.tokens_per_s
        return self.slowness * (self.step_s + chunk_s)


class Queue(NamedTuple):
    """What is expected ahead of a prompt on a server: prompt tokens of this VM that are
    not prefilled yet, those of others in the tail, and the time until it has a place."""

    own_tokens: float = 0.0
    others_tail_tokens: float = 0.0
    place_s: float = 0.0


class Targets(NamedTuple):
    """What a request's class asks for; None where it names no target."""

    first_token_s: float | None = None
    gap_s: float | None = None


class Requests(NamedTuple):
    """Requests on a server that ask for the same: how many are open, and how many
    arrive."""

    targets: Targets
    open: float
    per_s: float


class Prediction(NamedTuple):
    """What a prompt is predicted to meet and to cause on a server.

    Without others' prompts the first token comes by `first_token_s`, as about half of
    them do; behind them, most come by `tail_s`. `pause_s` is the pause that the prompt
    causes to what runs there, `usual_pause_s` the one that the prompts cause that are
    usually sent there, `busy_s` the time that its prefill takes.
    """

    first_token_s: float
    tail_s: float
    pause_s: float
    usual_pause_s: float
    busy_s: float

    def corrected(self, factor: float) -> "Prediction":
        """Return the prediction with first tokens as late as they usually come out."""
        return self._replace(
            first_token_s=self.first_token_s * factor, tail_s=self.tail_s * factor
        )


def prefill_tokens(own: float, use: PrefixUse) -> float:
    """Return the tokens that the prefix's use and the own part take to prefill."""
    match use:
        case Cached():
            return own
        case PrefillAgain(tokens):
            return own + tokens
        case Copy(tokens):
            return own + COPY_SHARE * tokens


def repeated_work_s(use: PrefixUse, rates: Rates) -> float:
    """Return what other requests lose as a server repeats work."""
    match use:
        case Cached():
            return 0.0
        case PrefillAgain(tokens):
            return REPEATED_FACTOR * rates.prefill_s(tokens)
        case Copy(tokens):
            return REPEATED_FACTOR * COPY_SHARE * rates.prefill_s(tokens)


def predict(
    tokens: float,
    rates: Rates,
    queue: Queue,
    usual_tokens: float,
    gap_tokens: float,
) -> Prediction:
    """Return the predicted times of a prompt with these tokens to be prefilled.

    `usual_tokens` is the size of the prompts that are usually sent there.
    """
    start_s = queue.place_s + rates.slowness * rates.step_s
    ahead = queue.own_tokens + tokens
    return Prediction(
        start_s + rates.prefill_s(ahead),
        start_s + rates.prefill_s(ahead + queue.others_tail_tokens),
        rates.pause_s(tokens, gap_tokens),
        rates.pause_s(usual_tokens, gap_tokens),
        rates.prefill_s(tokens),
    )


def risk(predicted_s: float, target_s: float | None) -> float:
    """Return the risk of missing a target, from 0 to 1."""
    if target_s is None or target_s <= 0:
        return 0.0
    share = predicted_s / target_s - SAFE_SHARE
    return min(1.0, max(0.0, share / (CERTAIN_SHARE - SAFE_SHARE)))


def cost_s(
    prediction: Prediction, targets: Targets, present: Iterable[Requests]
) -> float:
    """Return the cost of a prompt on a server: its wait, its own risk to miss targets,
    and the risk that it adds to what runs and arrives there."""
    waits = (prediction.first_token_s, prediction.tail_s)
    own = sum(risk(wait_s, targets.first_token_s) for wait_s in waits) / len(waits)
    suffered = risk(prediction.usual_pause_s, targets.gap_s)
    caused = sum(added_risk(prediction, requests) for requests in present)
    return sum(waits) / len(waits) + LATE_S * (own + suffered + caused)


def added_risk(prediction: Prediction, requests: Requests) -> float:
    """Return how many more of the requests on a server are expected to be late: of the
    open ones by a longer pause than usual, of those that arrive during the prefill by a
    later first token."""
    gap_s, first_token_s = requests.targets.gap_s, requests.targets.first_token_s
    before = risk(prediction.usual_pause_s, gap_s)
    paused = requests.open * max(0.0, risk(prediction.pause_s, gap_s) - before)
    if first_token_s is None:
        return paused
    # Half of the prefill is left on average when a request arrives during it.
    delay_s = min(prediction.busy_s / 2, first_token_s)
    delayed = requests.per_s * prediction.busy_s
    return paused + delayed * delay_s / first_token_s / (CERTAIN_SHARE - SAFE_SHARE)
