#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use Python's standard library
# alone, so this only checks that they compile and that the daemon's packages
# of the deploy file's build are there.
cd "$(dirname "$0")" || exit 1
[ -d ../target/deps ] || {
    echo 'run the build of deploy/system.toml first' >&2
    exit 1
}
python3 - standins-3/kit.py 1[1-5]/case.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, 'exec')
END
