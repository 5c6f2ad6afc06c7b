#!/bin/sh
# Checks what the scripts under review/ need.  Their stand-ins are Python
# programs of the standard library, which need no build; the build of the
# deploy file already needs Python for Meson.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, json, tomllib' 2>/dev/null \
  || python3 -c 'import asyncio, json'
python3 -m py_compile review/common/stage.py review/common/runner.py
rm -rf review/common/__pycache__
test -x target/gatewayd/beryl-gatewayd
