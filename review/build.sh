#!/bin/sh
# Builds the stand-ins of the scripts: compiles them to byte code.
cd "$(dirname "$0")/.." && python3 -m compileall -q review
