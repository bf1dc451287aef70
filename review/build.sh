#!/bin/sh
# The stand-ins are Python files that need nothing but the environment of the deploy file's build.
cd "$(dirname "$0")" || exit 1
python=../.venv/bin/python
[ -x "$python" ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
exec "$python" -B - standins.py [0-9]/case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
PYTHON
