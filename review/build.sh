#!/bin/sh
# The stand-ins are Python scripts of the standard library and need no build. This checks that the
# programs of the deploy file and the interpreter are there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
test -x target/release/heatherwalk
