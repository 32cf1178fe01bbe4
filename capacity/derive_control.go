package capacity

// perPair is the cost per service and entry of a row over entries, measured
// with someOfServices of them.
func perPair(r Row) float64 {
	return r.Slope / someOfServices
}

// controlToday is the one leader with today's mechanisms.
func (d *deriver) controlToday() {
	z := d.size
	pairs := z.Databases * z.Nodes
	report := perPair(d.control("report", "µs", "entries"))
	d.note("control today: one report", report*pairs/1e6, "s", 1/(reportsNow*z.Nodes),
		"report per entry / 30 x databases x nodes; limit 1 / reports in a second")
	d.note("control today: change, bytes", d.control("change", "bytes", "services").Slope/fewEntries*pairs, "bytes", 0,
		"change bytes per service / 8 x databases x nodes")
	d.note("control today: change, steps", d.control("change", "µs", "services").Slope/fewEntries*pairs/1e6, "s", changeTime,
		"change µs per service / 8 x databases x nodes")
	d.note("control today: change, encoding", d.control("change", "bytes", "services").Slope/fewEntries*pairs*d.encode()/1e6, "s", changeTime,
		"change bytes x encode per byte")
	sweep := d.control("sweeps per one of them", "µs per s", "services").Slope
	d.note("control today: sweeps over databases", sweep*z.Databases*z.Databases/1e4, "% of a core", wholeCore,
		"sweeps per service and service x databases²")
	d.note("control today: sweeps over entries", d.control("sweeps", "µs per s", "entries").At(z.Nodes)/1e4, "% of a core", wholeCore,
		"sweeps(nodes)")
	d.note("control today: heap", perPair(d.control("heap", "bytes", "entries"))*pairs, "bytes", 0,
		"heap per entry / 30 x databases x nodes")
	d.note("control today: failover, steps", d.failover("failover", "µs per entry", "entries").At(z.Nodes)*z.Nodes/1e6, "s", primaryTime,
		"failover per entry(nodes) x nodes, with 3 databases in all")
	d.note("control today: failover, bytes", d.failover("failover", "bytes", "services").Slope/fewEntries*pairs, "bytes", 0,
		"failover bytes per service / 8 x databases x nodes")
}

func (d *deriver) encode() float64 {
	return d.line("codec", "encode", "µs", "bytes of a frame", "").Slope
}

// controlPlanned is the leader of one region with the planned mechanisms.
func (d *deriver) controlPlanned() {
	z := d.size
	nodes, services, some := z.Nodes/z.Regions, z.Databases/z.Regions, z.Subscribed()
	report := perPair(d.control("report", "µs", "entries")) * some * nodes
	d.note("region, else today: reports", report*nodes/z.IntervalSeconds/1e4, "% of a core", wholeCore,
		"report per entry / 30 x subscribed x (nodes / regions)² / interval")
	sweep := d.control("sweeps per one of them", "µs per s", "services").Slope
	d.note("region, else today: sweeps over databases", sweep*services*services/1e4, "% of a core", wholeCore,
		"sweeps per service and service x (databases / regions)²")
	d.note("region, else today: sweeps over entries", d.control("sweeps", "µs per s", "entries").At(nodes)/1e4, "% of a core", wholeCore,
		"sweeps(nodes / regions)")
	d.note("region planned: reports, all of them whole", d.control("report", "µs", "services").Slope*some*nodes/z.IntervalSeconds/1e4, "% of a core", wholeCore,
		"report per service at 8 entries x subscribed x nodes / regions / interval")
	frame := d.exchange(some)
	decode := d.line("codec", "decode", "µs", "bytes of a frame", "").Slope
	d.note("region planned: codec, all of them whole", frame*decode*nodes/z.IntervalSeconds/1e4, "% of a core", wholeCore,
		"(report + answer)(subscribed) x decode per byte x nodes / regions / interval")
	d.note("region planned: reports and answers, all whole", frame*nodes/z.IntervalSeconds, "bytes/s", 0,
		"(report + answer)(subscribed) x nodes / regions / interval")
	d.note("region planned: heap", perPair(d.control("heap", "bytes", "entries"))*some*nodes, "bytes", 0,
		"heap per entry / 30 x subscribed x nodes / regions")
	d.note("region planned: failover, messages", d.failover("failover", "messages", "entries").At(z.Subscribers), "messages", 0,
		"failover messages(subscribers)")
	d.note("region planned: change, bytes in all", d.delta()*z.Nodes, "bytes", 0, "delta x nodes")
}

// agreement is the log of the root and the regions together.
func (d *deriver) agreement() {
	z := d.size
	records := z.Changes + 2*z.PrimaryChanges
	line := func(quantity, unit, variable string) Row { return d.line("agreement", quantity, unit, variable, "") }
	d.note("agreement: log in a day", line("log", "bytes", "records").Slope*records, "bytes", 0, "log per record x records")
	d.note("agreement: messages in a day", line("messages", "bytes", "records").Slope*records, "bytes", 0, "messages per record x records")
	d.note("agreement: processor in a day", line("processor", "µs", "records").Slope*records/1e6, "s", 0, "processor per record x records")
	d.note("agreement: snapshot", line("snapshot", "bytes", "services").At(z.Databases), "bytes", snapshotMost, "snapshot(databases)")
	d.note("agreement: snapshots in a day", line("snapshot", "bytes", "services").At(z.Databases)*records/snapshotRecords, "bytes", 0,
		"snapshot(databases) x records / 256")
	d.note("agreement: snapshot, pause", line("snapshot", "µs", "services").At(z.Databases)/1e6, "s", 0, "snapshot µs(databases)")
	d.note("agreement: restore", line("restore", "µs", "services").At(z.Databases)/1e6, "s", 0, "restore µs(databases)")
	d.note("agreement: heartbeats of 3 members", line("heartbeats", "bytes/s", "members").At(3), "bytes/s", 0, "heartbeats(3)")
}

// faults is what faults ask for.
func (d *deriver) faults() {
	z := d.size
	lost := z.Databases / z.Sites
	nodes := z.Nodes / z.Regions
	line := d.failover("failover", "µs per entry", "entries")
	d.note("site lost: changes of primary", lost, "changes", 0, "databases / sites")
	d.note("site lost: failover steps, walks over entries", line.At(nodes)*z.Subscribers*lost/1e6, "s", primaryRest,
		"failover per entry(nodes / regions) x subscribers x databases / sites")
	d.note("site lost: failover steps, walks over subscribers", line.first()*z.Subscribers*lost/1e6, "s", primaryRest,
		"failover per entry as measured at 8 x subscribers x databases / sites")
	d.note("site lost: agreement", d.line("agreement", "processor", "µs", "records", "").Slope*2*lost/1e6, "s", primaryRest,
		"processor per record x 2 x databases / sites")
	callers := z.Connections / (z.Nodes * (z.Sites - 1) / z.Sites)
	held := d.line("listener", "heap and stacks", "bytes", "idle callers", "").Slope
	d.note("all sites: callers of an entry", z.Connections/z.Nodes, "callers", callersMost, "connections / nodes")
	d.note("all sites: callers' memory of an entry", held*z.Connections/z.Nodes, "bytes", 0, "per caller x connections / nodes")
	d.note("site lost: callers of an entry", callers, "callers", callersMost, "connections / (nodes x 10 / 11)")
	d.note("site lost: callers' memory of an entry", held*callers, "bytes", 0, "per caller x callers")
	cold := d.entry("answer", "bytes").At(z.Subscribed())
	whole := d.line("agreement", "whole settings", "bytes", "services", "").At(z.Databases)
	d.note("restart: state of an entry", cold, "bytes", 0, "answer(subscribed)")
	d.note("restart: state of a relay", whole, "bytes", 0, "whole settings(databases)")
	d.note("restart: all entries' states", cold*z.Restarts/secondsIn, "bytes/s", 0, "answer(subscribed) x restarts / 86400")
	d.note("restart: all as relays", whole*z.Restarts/secondsIn, "bytes/s", 0, "whole settings(databases) x restarts / 86400")
	d.note("site restarted: states of its entries", cold*z.Nodes/z.Sites, "bytes", 0, "answer(subscribed) x nodes / sites")
	d.note("region back after an hour: deltas of a relay", d.delta()*z.Changes/24, "bytes", 0, "delta x changes / 24")
}
