#!/bin/sh
# Installs the pinned runtime libraries and this checkout's package into target/deps.
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
# Compile ahead: the checkout is read-only to the process, which would otherwise compile
# the package anew at each start.
PYTHONDONTWRITEBYTECODE= python3 -m compileall -q "$deps/godwitmast"
