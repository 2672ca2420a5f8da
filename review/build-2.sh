#!/bin/sh
# The stand-ins of the second review are Python scripts of the standard library and need no build.
# This checks that the interpreter and the programs of the deploy file are there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 -m py_compile review/harness-2/stand.py
rm -rf review/harness-2/__pycache__
test -x target/release/heatherwalk
