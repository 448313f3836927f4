#!/bin/sh
# Builds the stand-ins of the third review: they are Python, so they are only
# compiled, which shows that they can be read. Run after the build of
# deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/__init__.py review/standin3 \
    review/12 review/13 review/14 review/15
