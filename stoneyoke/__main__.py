"""`python -m stoneyoke`: one gateway on sockets, as NODE_CONFIG describes it, until SIGTERM."""

import sys

from stoneyoke.single_gateway.program import main

if __name__ == "__main__":
    sys.exit(main())
