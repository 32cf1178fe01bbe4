package catalog

// Statements are the SQL statements that the system itself sends to upstreams.
type Statements struct {
	// Status returns one row: whether the upstream is a replica (t or f), its
	// term, the log position that its queries see, and the end of the log that
	// it has received. Positions are in bytes.
	Status string
	// Promote makes a replica the primary of its group. %TERM% is replaced by
	// the newest known term, and the group must start a higher one. PostgreSQL
	// does so if all instances share an archive of timeline histories.
	Promote string
	// Follow makes an upstream replicate from another. %HOST% and %PORT% are
	// replaced by the address of the other. Each statement is sent separately.
	Follow []string
}

// DefaultStatements returns the statements for PostgreSQL.
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
