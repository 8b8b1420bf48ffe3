"""The configuration that `godwit-dev` starts with, and its keys."""

from typing import Any

from godwitmast.keys.hashing import hash_key

MODEL = "godwit-lm"
SERVICE = "pool-app"
TEAMS = ("arima", "chaguanas", "couva", "point-fortin", "princes-town")
CLASSES = ("question", "invitation")


def dev_key(team: str) -> str:
    """Return a team's key, which is valid only within this process."""
    return f"gw-dev-{team}"


def dev_document(engine_urls: list[str], service_url: str) -> dict[str, Any]:
    """Return a configuration for servers that are already listening."""
    backends: dict[str, Any] = {
        f"engine-{number}": {"url": url, "zone": "dev", "pools": [MODEL]}
        for number, url in enumerate(engine_urls, 1)
    }
    backends["service-1"] = {"url": service_url, "zone": "dev", "pools": [SERVICE]}
    return {
        "classes": {
            "question": {"tier": 1, "first_token_s": 1.2, "between_tokens_s": 0.05},
            "invitation": {"tier": 2, "completion_s": 30.0},
        },
        "teams": {team: {} for team in TEAMS},
        "keys": {
            hash_key(dev_key(team)): {"team": team, "default_class": "question"}
            for team in TEAMS
        },
        "models": {MODEL: {}},
        "services": {SERVICE: {"default_class": "question"}},
        "backends": backends,
    }
