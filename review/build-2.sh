#!/bin/sh
# Builds what the scripts 6 to 10 start besides the controller. The stand-ins are Python of the standard library,
# in rig2.py and N/case.py, run by the environment that the build of the deploy file makes: nothing is fetched
# and nothing has to be compiled, so this only checks that they can be read there.
set -eu
cd "$(dirname "$0")"
python=../.venv/bin/python
[ -x "$python" ] || { echo "the build of the deploy file has not run"; exit 2; }
for file in rig2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ ! -f "$file" ] || "$python" -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
