#!/bin/sh
# Puts the pinned runtime libraries and this checkout's package into target/deps.
set -eu
deps=target/deps
wanted=$(cksum deploy/requirements.txt)
if [ "$(cat target/installed 2>/dev/null)" != "$wanted" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --target "$deps" -r deploy/requirements.txt
    python3 -m compileall -q "$deps"
    mkdir -p target
    echo "$wanted" > target/installed
fi
rm -rf "$deps/godwitmast"
cp -r src/godwitmast "$deps/godwitmast"
# Without compiled files each start would compile the package anew, as the checkout is
# read-only to the process.
PYTHONDONTWRITEBYTECODE= python3 -m compileall -q "$deps/godwitmast"
