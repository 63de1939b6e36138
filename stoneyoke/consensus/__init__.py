"""The replicated register: one value, made of the voter set and the operator's configuration, chosen by consensus.

Decision logic, without I/O:

* `ballot`, `register_value`: ballots, replicas, voter sets, values and proposals.
* `quorum`, `voter_groups`: how many responses are enough, and from which replicas.
* `acceptor`, `proposal_round`, `majority_read`: the state of one voter, of one round, of one read.
* `voter_set`, `recovery`: which voters to propose; how to restart after a majority of the voters is lost.
* `record_formats`, `message_rows`: the encoding of values on disk and in messages.

Disk and network:

* `replica`, `replica_start`, `replica_disk`: one replica and its disk.
* `proposer`, `reader`, `learner`, `replica_server`: the roles of a process, over the network.
* `replication`: creates the roles and is the interface for the control plane.

Each voter makes an acknowledged configuration durable in `replica.Replica.accept`.
"""
