"""The entry points of the programs. They compose the components of other packages and contain no logic of their own."""
