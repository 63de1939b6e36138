"""`python -m stoneyoke` runs one gateway, configured by the file that NODE_CONFIG names, until SIGTERM."""

import sys

from stoneyoke.single_gateway.program import main

if __name__ == "__main__":
    sys.exit(main())
