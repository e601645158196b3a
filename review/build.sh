#!/bin/sh
# The stand-ins are Python programs (3.11, standard library only) and need no build. This checks
# that they can be read, and that the system has been built with the command of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11), "Python 3.11 is required"
for path in pathlib.Path(".").glob("*/*.py"):
    ast.parse(path.read_text(), str(path))
deploy = tomllib.loads(pathlib.Path("../deploy/system.toml").read_text())
program = pathlib.Path("..") / deploy["roles"]["dispatcher"]["run"].split()[0]
assert program.exists(), f"{program} is missing: run the build command of deploy/system.toml first"
CHECK
echo "review: stand-ins are ready"
