#!/bin/sh
# Builds the stand-ins of the second review: compiles them to byte code.
cd "$(dirname "$0")/.." && python3 -m compileall -q review
