"""The control plane's own state: the operator's word, who votes, records of backends, duties. No I/O.

Times are seconds of the steady clock; the time of day is never used (DEPLOY, Clocks)."""
