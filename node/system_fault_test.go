package node_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// injectFault causes one random fault and ends it after a random time.
func (w *simulation) injectFault() {
	d := time.Duration(100+w.rng.IntN(2000)) * ms
	p := w.vms[w.rng.IntN(len(w.vms))]
	u := w.group[w.ids()[w.rng.IntN(3)]]
	switch w.rng.IntN(6) {
	case 0:
		w.restart(p, d)
	case 1:
		w.counts["freeze "+string(p.vm[0])]++
		p.frozenUntil = w.now.Add(d)
	case 2:
		s := sites[w.rng.IntN(3)]
		w.counts["cut"]++
		w.isolated[s] = true
		w.schedule(d, func() { delete(w.isolated, s) })
	case 3:
		w.counts["freeze upstream"]++
		u.frozenUntil = w.now.Add(d)
	default:
		w.restartPrimary(d)
	}
}

func (w *simulation) restart(p *process, d time.Duration) {
	if p.dead {
		return
	}
	w.counts["kill "+string(p.vm[0])]++
	w.kill(p)
	w.schedule(d, func() { w.start(p) })
}

// restartPrimary kills the current primary, which later restarts as a primary.
func (w *simulation) restartPrimary(d time.Duration) {
	for _, id := range w.ids() {
		u := w.group[id]
		if u.dead || u.role != catalog.RolePrimary {
			continue
		}
		w.counts["kill primary"]++
		w.killInstance(u)
		w.schedule(d, func() { u.dead = false })
		return
	}
}

func (w *simulation) killInstance(u *instance) {
	u.dead = true
	u.incarnation++
	u.openConns = 0
	for _, k := range w.sortedConns() {
		if c := w.conns[k]; c.instance == u && !w.isCut(w.byName[k.vm].site, u.site) {
			w.schedule(w.latency(w.byName[k.vm].site, u.site), func() { w.loseConn(k, w.byName[k.vm], wire.EvidenceRefused) })
		}
	}
}

func (w *simulation) sortedConns() []connKey {
	var out []connKey
	for k := range w.conns {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b connKey) int {
		return compare(fmt.Sprint(a.vm, a.incarnation), fmt.Sprint(b.vm, b.incarnation), int(a.id)-int(b.id))
	})
	return out
}

func compare(a, b string, tie int) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return tie
	}
}
