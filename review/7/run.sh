#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:review/lib2 PYTHONDONTWRITEBYTECODE=1 \
    exec python3 -S review/7/play.py
