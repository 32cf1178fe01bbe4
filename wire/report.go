package wire

// Approximate sizes of the parts of an encoded report, in bytes.
const (
	reportHeadSize   = 80
	observationSize  = 40
	demandSize       = 16
	announcementSize = 120
	usageSize        = 14
	workSize         = 8
	spentEpochSize   = 6
)

// ApproximateSize returns about how many bytes the encoded report has. It is
// cheaper than encoding.
func (r *Report) ApproximateSize() int {
	n := reportHeadSize + len(r.VM) + len(r.Site)
	for _, id := range r.Services {
		n += 1 + len(id)
	}
	for _, o := range r.Observations {
		n += observationSize + len(o.Service) + len(o.Instance)
	}
	for _, d := range r.Demands {
		n += demandSize + len(d.Service) + len(d.Instance)
	}
	for _, u := range r.Usage {
		n += usageSize + len(u.Organisation)
	}
	for _, w := range r.Work {
		n += workSize + len(w.Service)
	}
	for _, x := range r.SpentEpochs {
		n += spentEpochSize + len(x.Service)
	}
	return n + announcementSize*len(r.Announcements)
}

// IsSearch reports whether an entry sent the report only to find the leader. Such a
// report says nothing about the entry's services, demands or organisations.
func (r *Report) IsSearch() bool {
	return r.DemandsUnchanged && len(r.Services) == 0 && r.PrimariesMark == 0 && len(r.Usage) == 0 && len(r.Observations) == 0
}
