"""The programs that are started: they compose the parts of the other packages and hold no logic of their own."""
