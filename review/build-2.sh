#!/bin/sh
# Builds the stand-ins of this review's scripts: after the build of the deploy file, the
# project's own stand-ins are in target/deps; the small ones of lib2 are compiled here.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
PYTHONPATH=target/deps:review/lib2 PYTHONDONTWRITEBYTECODE=1 python3 -S -c \
    'import fleet; import godwitmast.standins.store'
echo "stand-ins are built"
