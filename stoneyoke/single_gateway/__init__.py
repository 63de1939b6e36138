"""The single gateway as a program: its configuration, discovery, counter service and command line."""
