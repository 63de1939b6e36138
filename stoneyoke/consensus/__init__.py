"""The replicated register: one value, the voters and the operator's configuration, decided by consensus.

What is decided, without I/O:

* `ballot`, `register_value`: ballots, replicas, voter sets, values and proposals.
* `quorum`, `voter_groups`: how many answers are enough, and whose.
* `acceptor`, `proposal_round`, `majority_read`: one voter, one round, one read.
* `voter_set`, `recovery`: which voters to propose; a new start after a majority is lost.
* `record_formats`, `message_rows`: values on disk and in messages.

What is done with it:

* `replica`, `replica_start`, `replica_disk`: one replica and its disk.
* `proposer`, `reader`, `learner`, `replica_server`: the roles of a process, over the network.
* `replication`: puts the roles together for the control plane.

An acknowledged configuration becomes durable in `replica.Replica.accept`, at each voter.
"""
