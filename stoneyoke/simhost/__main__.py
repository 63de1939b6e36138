"""python -m stoneyoke.simhost: runs the decision logic for the simulator, over standard input and standard output."""

import sys

from stoneyoke.simhost.errors import MalformedFrame
from stoneyoke.simhost.host import serve

EXIT_MALFORMED = 2

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except MalformedFrame as error:
    print(f"stoneyoke: {error}", file=sys.stderr)
    sys.exit(EXIT_MALFORMED)
