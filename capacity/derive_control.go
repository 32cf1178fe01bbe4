package capacity

// costPerPair returns the cost per pair of service and entry. The row's variable
// must be the number of entries, measured with controlBaseServices services.
func costPerPair(r Row) float64 {
	return r.Slope / controlBaseServices
}

// addCurrentControl adds the figures of the system's single leader in the current
// design.
func (d *deriver) addCurrentControl() {
	z := d.size
	pairs := z.Databases * z.Nodes
	report := costPerPair(d.controlRow("report", "µs", "entries"))
	d.addFigure("control today: one report", report*pairs/1e6, "s", 1/(currentReportsPerSecond*z.Nodes),
		"report per entry / 30 x databases x nodes; limit 1 / reports in a second")
	d.addFigure("control today: change, bytes", d.controlRow("change", "bytes", "services").Slope/controlBaseEntries*pairs, "bytes", 0,
		"change bytes per service / 8 x databases x nodes")
	d.addFigure("control today: change, steps", d.controlRow("change", "µs", "services").Slope/controlBaseEntries*pairs/1e6, "s", maxChangeSeconds,
		"change µs per service / 8 x databases x nodes")
	d.addFigure("control today: change, encoding", d.controlRow("change", "bytes", "services").Slope/controlBaseEntries*pairs*d.encodeMicrosPerByte()/1e6, "s", maxChangeSeconds,
		"change bytes x encode per byte")
	sweep := d.controlRow("sweeps per one of them", "µs per s", "services").Slope
	d.addFigure("control today: sweeps over databases", sweep*z.Databases*z.Databases/1e4, "% of a core", fullCorePercent,
		"sweeps per service and service x databases²")
	d.addFigure("control today: sweeps over entries", d.controlRow("sweeps", "µs per s", "entries").At(z.Nodes)/1e4, "% of a core", fullCorePercent,
		"sweeps(nodes)")
	d.addFigure("control today: heap", costPerPair(d.controlRow("heap", "bytes", "entries"))*pairs, "bytes", 0,
		"heap per entry / 30 x databases x nodes")
	d.addFigure("control today: failover, steps", d.failoverRow("failover", "µs per entry", "entries").At(z.Nodes)*z.Nodes/1e6, "s", maxFailoverSeconds,
		"failover per entry(nodes) x nodes, with 3 databases in all")
	d.addFigure("control today: failover, bytes", d.failoverRow("failover", "bytes", "services").Slope/controlBaseEntries*pairs, "bytes", 0,
		"failover bytes per service / 8 x databases x nodes")
}

func (d *deriver) encodeMicrosPerByte() float64 {
	return d.findRow("codec", "encode", "µs", "bytes of a frame", "").Slope
}

// addPlannedControl adds the figures of one region's leader, first in the current
// design with regions and subscriptions, then in the planned design.
func (d *deriver) addPlannedControl() {
	z := d.size
	nodes, services, subscribed := z.Nodes/z.Regions, z.Databases/z.Regions, z.SubscribedDatabases()
	report := costPerPair(d.controlRow("report", "µs", "entries")) * subscribed * nodes
	d.addFigure("region, else today: reports", report*nodes/z.IntervalSeconds/1e4, "% of a core", fullCorePercent,
		"report per entry / 30 x subscribed x (nodes / regions)² / interval")
	sweep := d.controlRow("sweeps per one of them", "µs per s", "services").Slope
	d.addFigure("region, else today: sweeps over databases", sweep*services*services/1e4, "% of a core", fullCorePercent,
		"sweeps per service and service x (databases / regions)²")
	d.addFigure("region, else today: sweeps over entries", d.controlRow("sweeps", "µs per s", "entries").At(nodes)/1e4, "% of a core", fullCorePercent,
		"sweeps(nodes / regions)")
	d.addFigure("region planned: reports, all of them whole", d.controlRow("report", "µs", "services").Slope*subscribed*nodes/z.IntervalSeconds/1e4, "% of a core", fullCorePercent,
		"report per service at 8 entries x subscribed x nodes / regions / interval")
	frame := d.exchangeBytes(subscribed)
	decode := d.findRow("codec", "decode", "µs", "bytes of a frame", "").Slope
	d.addFigure("region planned: codec, all of them whole", frame*decode*nodes/z.IntervalSeconds/1e4, "% of a core", fullCorePercent,
		"(report + answer)(subscribed) x decode per byte x nodes / regions / interval")
	d.addFigure("region planned: reports and answers, all whole", frame*nodes/z.IntervalSeconds, "bytes/s", 0,
		"(report + answer)(subscribed) x nodes / regions / interval")
	d.addFigure("region planned: heap", costPerPair(d.controlRow("heap", "bytes", "entries"))*subscribed*nodes, "bytes", 0,
		"heap per entry / 30 x subscribed x nodes / regions")
	d.addFigure("region planned: failover, messages", d.failoverRow("failover", "messages", "entries").At(z.Subscribers), "messages", 0,
		"failover messages(subscribers)")
	d.addFigure("region planned: change, bytes in all", d.deltaBytes()*z.Nodes, "bytes", 0, "delta x nodes")
}

// addAgreement adds the figures of the replicated logs of the root and all regions
// together.
func (d *deriver) addAgreement() {
	z := d.size
	records := z.ConfigChangesPerDay + 2*z.PrimaryChangesPerDay
	agreementRow := func(quantity, unit, variable string) Row { return d.findRow("agreement", quantity, unit, variable, "") }
	d.addFigure("agreement: log in a day", agreementRow("log", "bytes", "records").Slope*records, "bytes", 0, "log per record x records")
	d.addFigure("agreement: messages in a day", agreementRow("messages", "bytes", "records").Slope*records, "bytes", 0, "messages per record x records")
	d.addFigure("agreement: processor in a day", agreementRow("processor", "µs", "records").Slope*records/1e6, "s", 0, "processor per record x records")
	d.addFigure("agreement: snapshot", agreementRow("snapshot", "bytes", "services").At(z.Databases), "bytes", maxSnapshotBytes, "snapshot(databases)")
	d.addFigure("agreement: snapshots in a day", agreementRow("snapshot", "bytes", "services").At(z.Databases)*records/recordsPerSnapshot, "bytes", 0,
		"snapshot(databases) x records / 256")
	d.addFigure("agreement: snapshot, pause", agreementRow("snapshot", "µs", "services").At(z.Databases)/1e6, "s", 0, "snapshot µs(databases)")
	d.addFigure("agreement: restore", agreementRow("restore", "µs", "services").At(z.Databases)/1e6, "s", 0, "restore µs(databases)")
	d.addFigure("agreement: heartbeats of 3 members", agreementRow("heartbeats", "bytes/s", "members").At(3), "bytes/s", 0, "heartbeats(3)")
}

// addFaults adds the figures of the load after the loss of a site and after
// restarts.
func (d *deriver) addFaults() {
	z := d.size
	lostPrimaries := z.Databases / z.Sites
	nodes := z.Nodes / z.Regions
	failoverRow := d.failoverRow("failover", "µs per entry", "entries")
	d.addFigure("site lost: changes of primary", lostPrimaries, "changes", 0, "databases / sites")
	d.addFigure("site lost: failover steps, walks over entries", failoverRow.At(nodes)*z.Subscribers*lostPrimaries/1e6, "s", maxFailoverWorkSeconds,
		"failover per entry(nodes / regions) x subscribers x databases / sites")
	d.addFigure("site lost: failover steps, walks over subscribers", failoverRow.firstValue()*z.Subscribers*lostPrimaries/1e6, "s", maxFailoverWorkSeconds,
		"failover per entry as measured at 8 x subscribers x databases / sites")
	d.addFigure("site lost: agreement", d.findRow("agreement", "processor", "µs", "records", "").Slope*2*lostPrimaries/1e6, "s", maxFailoverWorkSeconds,
		"processor per record x 2 x databases / sites")
	callers := z.Connections / (z.Nodes * (z.Sites - 1) / z.Sites)
	bytesPerCaller := d.findRow("listener", "heap and stacks", "bytes", "idle callers", "").Slope
	d.addFigure("all sites: callers of an entry", z.Connections/z.Nodes, "callers", maxCallers, "connections / nodes")
	d.addFigure("all sites: callers' memory of an entry", bytesPerCaller*z.Connections/z.Nodes, "bytes", 0, "per caller x connections / nodes")
	d.addFigure("site lost: callers of an entry", callers, "callers", maxCallers, "connections / (nodes x 10 / 11)")
	d.addFigure("site lost: callers' memory of an entry", bytesPerCaller*callers, "bytes", 0, "per caller x callers")
	entryState := d.entryRow("answer", "bytes").At(z.SubscribedDatabases())
	relayState := d.findRow("agreement", "whole settings", "bytes", "services", "").At(z.Databases)
	d.addFigure("restart: state of an entry", entryState, "bytes", 0, "answer(subscribed)")
	d.addFigure("restart: state of a relay", relayState, "bytes", 0, "whole settings(databases)")
	d.addFigure("restart: all entries' states", entryState*z.RestartsPerDay/secondsPerDay, "bytes/s", 0, "answer(subscribed) x restarts / 86400")
	d.addFigure("restart: all as relays", relayState*z.RestartsPerDay/secondsPerDay, "bytes/s", 0, "whole settings(databases) x restarts / 86400")
	d.addFigure("site restarted: states of its entries", entryState*z.Nodes/z.Sites, "bytes", 0, "answer(subscribed) x nodes / sites")
	d.addFigure("region back after an hour: deltas of a relay", d.deltaBytes()*z.ConfigChangesPerDay/24, "bytes", 0, "delta x changes / 24")
}
