"""The settings file of the users' platform."""

from pathlib import Path

import pytest

from fleet import settings_of
from godwitmast.errors import SettingsError
from godwitmast.platform.daemon import Node
from godwitmast.platform.settings import PlatformFile
from godwitmast.settings import Listen, check_settings, load_settings


def test_fields_that_are_not_known_are_ignored() -> None:
    read = check_settings(settings_of(8223), PlatformFile, "settings")
    assert read.platform.address == Listen("127.0.0.1", 8223)
    assert read.bounds.grace_s == 6
    assert not hasattr(read, "unheard_of")


@pytest.mark.parametrize(
    ("place", "value", "told"),
    [
        ("node", "", "node"),
        ("zone", 7, "zone"),
        ("ip", None, "ip"),
        ("listen", {"front": "nowhere", "ready": "127.0.0.1:0"}, "listen.front"),
        ("listen", {"front": "127.0.0.1:70000", "ready": "x:1"}, "listen.front"),
        ("bounds", {"drainMs": -1, "graceS": 6}, "bounds.drainMs"),
        ("platform", {}, "platform.address"),
    ],
)
def test_bad_field_is_named(place: str, value: object, told: str) -> None:
    raw = settings_of(8223) | {place: value}
    with pytest.raises(SettingsError, match=told):
        check_settings(raw, PlatformFile, "settings")


@pytest.mark.anyio
async def test_changed_file_is_applied_without_a_signal_and_an_invalid_one_is_not(
    tmp_path: Path,
) -> None:
    path = tmp_path / "settings.toml"
    text = SETTINGS.format(strict="false")
    path.write_text(text)
    node = Node(load_settings(path, PlatformFile, {}), path)
    assert not node.app.ends_withdrawn_streams
    path.write_text("this is not TOML")
    node.reload()
    assert not node.app.ends_withdrawn_streams
    path.write_text(SETTINGS.format(strict="true"))
    node.reload()
    assert node.app.ends_withdrawn_streams


SETTINGS = """
node = "front-1"
zone = "z1"
ip = "127.0.0.1"
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[bounds]
drainMs = 2000
graceS = 8
configDeadlineMs = 2000
strictRevoke = {strict}
[platform]
address = "127.0.0.1:9"
[cloudApi]
address = "127.0.0.1:9"
"""
