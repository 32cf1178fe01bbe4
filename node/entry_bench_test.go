package node

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// BenchmarkEntryRead measures the steps for one read, from its arrival to its
// answer, at an entry with one service of three instances.
func BenchmarkEntryRead(b *testing.B) {
	w := newFakeWorld(testOptions())
	for _, line := range []string{
		"upstream a role=primary at=1:100 grant=6", "upstream b role=replica at=1:100 grant=6",
		"upstream c role=replica at=1:100 grant=6", "control primary=a epoch=1 term=1 ready=yes", "run 300ms",
	} {
		if err := w.play(strings.Fields(line)); err != nil {
			b.Fatal(err)
		}
	}
	e, now := w.entry, w.now
	b.ReportAllocs()
	for n := range b.N {
		id := catalog.RequestID(n + 1)
		read := RequestArrived{Request: id, Service: "orders", Class: ClassNormal, Deadline: now.Add(time.Second)}
		for _, x := range e.Step(Event{Now: now, Input: read}) {
			if run, ok := x.(RunRequest); ok {
				e.Step(Event{Now: now, Input: RequestDone{Request: id, Conn: run.Conn, Reusable: true}})
			}
		}
	}
	if len(e.requests) > 0 {
		b.Fatalf("%d requests are left", len(e.requests))
	}
}

// BenchmarkEntryServices measures the steps for one read at an entry with 3, 30
// and 300 services, of which one has callers.
func BenchmarkEntryServices(b *testing.B) {
	for _, services := range []int{3, 30, 300} {
		b.Run(strconv.Itoa(services), func(b *testing.B) {
			w := newScaleWorld(services, nil)
			w.run(2 * time.Second)
			e, now := w.entry, w.now
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				id := catalog.RequestID(n + 1)
				read := RequestArrived{Request: id, Service: scaleServiceID(0), Class: ClassNormal, Deadline: now.Add(time.Second)}
				for _, x := range e.Step(Event{Now: now, Input: read}) {
					if run, ok := x.(RunRequest); ok {
						e.Step(Event{Now: now, Input: RequestDone{Request: id, Conn: run.Conn, Reusable: true}})
					}
				}
			}
			if len(e.requests) > 0 {
				b.Fatalf("%d requests are left", len(e.requests))
			}
		})
	}
}

// BenchmarkEntryReports measures one second of an idle entry: the bytes that it
// sends and the processor time of its steps, with every entry of the site
// observing and with two of sixteen.
func BenchmarkEntryReports(b *testing.B) {
	two := func(o *EntryOptions) {
		o.Observers = 2
		for n := range 15 {
			o.SitePeers = append(o.SitePeers, catalog.VMID(fmt.Sprintf("entry-%04d", n+2)))
		}
	}
	cases := []struct {
		name   string
		change func(*EntryOptions)
	}{{"all", nil}, {"two-of-16", two}}
	for _, c := range cases {
		for _, services := range []int{3, 30, 300} {
			b.Run(fmt.Sprint(c.name, "/", services), func(b *testing.B) {
				w := newScaleWorld(services, c.change)
				w.run(3 * time.Second)
				w.reportedBytes, w.relayedBytes = 0, 0
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					w.run(time.Second)
				}
				b.ReportMetric(float64(w.reportedBytes)/float64(b.N), "report-B/s")
				b.ReportMetric(float64(w.relayedBytes)/float64(b.N), "relay-B/s")
			})
		}
	}
}

// BenchmarkEntryExplain measures an explanation at an entry with one service and
// 300 services, of which each has three upstreams.
func BenchmarkEntryExplain(b *testing.B) {
	for _, services := range []int{1, 300} {
		b.Run(strconv.Itoa(services), func(b *testing.B) {
			w := newScaleWorld(services, nil)
			w.run(2 * time.Second)
			in := RequestArrived{Request: explainedRequest, Service: scaleServiceID(0), Class: ClassNormal, Deadline: w.now.Add(time.Second)}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.entry.explain(in, w.now)
			}
		})
	}
}
