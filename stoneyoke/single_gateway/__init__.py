"""The program of a single gateway: its configuration, discovery, counter client and command line."""
