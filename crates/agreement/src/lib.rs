//! One replicated log: elections, replication, leader leases, membership changes and snapshots.
