"""python -m stoneyoke.simhost: the decisions on the simulator's wire, standard input to standard output."""

import sys

from stoneyoke.simhost.host import serve
from stoneyoke.simhost.wire import Malformed

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except Malformed as bad:
    print(f"stoneyoke: {bad}", file=sys.stderr)
    sys.exit(2)
