"""Every order of messages, crashes, restarts and lost disks in the smallest worlds, with the real code for each step.

state: plain values and the real objects; worlds: what is walked; steps, operations: what may happen next; checks: what
must hold; explore: the walk. docs/design/exhaustive.md has the states counted and what is not walked."""
