package catalog

// Statements are what the system says to upstreams on its own account.
type Statements struct {
	// Status returns one row: whether the upstream is a replica (t or f), its
	// term, the log position in bytes that it shows, and the one up to which
	// it holds the log.
	Status string
	// Promote makes a replica the primary of its group. %TERM% stands for the
	// newest term known; the group must begin a higher one. PostgreSQL does if
	// all instances share an archive of timeline histories. %TERM% stands for the
	// newest term known; the group must begin a higher one. PostgreSQL does if
	// all instances share an archive of timeline histories.
	Promote string
	// Follow tells an upstream to replicate from another. %HOST% and %PORT%
	// stand for that one's address. Each statement runs on its own.
	Follow []string
}

// DefaultStatements fits PostgreSQL.
func DefaultStatements() Statements {
	return Statements{
		Status: "SELECT pg_is_in_recovery(), " +
			"CASE WHEN pg_is_in_recovery() " +
			"THEN coalesce((SELECT received_tli FROM pg_stat_wal_receiver), " +
			"(SELECT timeline_id FROM pg_control_checkpoint())) " +
			"ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END, " +
			"(CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() " +
			"ELSE pg_current_wal_lsn() END - '0/0')::bigint, " +
			"(CASE WHEN pg_is_in_recovery() " +
			"THEN greatest(pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()) " +
			"ELSE pg_current_wal_lsn() END - '0/0')::bigint",
		Promote: "SELECT pg_promote(true, 5), %TERM% AS after_term",
		Follow: []string{
			"ALTER SYSTEM SET primary_conninfo = 'host=%HOST% port=%PORT%'",
			"SELECT pg_reload_conf()",
		},
	}
}
