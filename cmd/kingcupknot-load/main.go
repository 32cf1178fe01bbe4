// Kingcupknot-load runs callers against entries and checks what they were told.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/program"
	"github.com/kingcupknot/kingcupknot/workload"
)

type options struct {
	Entry    []string      `long:"entry" required:"true" description:"IP:PORT of an entry; repeatable"`
	Service  []string      `long:"service" required:"true" description:"Service to use; repeatable"`
	Duration time.Duration `long:"duration" default:"10s" description:"How long requests are started"`
	Rate     float64       `long:"rate" default:"200" description:"Requests a second over all callers"`
	Callers  int           `long:"callers" default:"20" description:"Callers, each with one session"`
	Browse   float64       `long:"browse" default:"0.5" description:"Share of browsing reads, 0 to 1"`
	MaxAge   time.Duration `long:"max-age" default:"500ms" description:"Age that browsing reads accept"`
	Move     bool          `long:"move" description:"Go on at a random entry after each request"`
	Mode     mode          `long:"session-mode" default:"token" description:"How sessions are told apart: token, id or connection"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the draws"`
	User     string        `long:"user" default:"caller" description:"User to connect as"`
	Password string        `long:"password" description:"Password to connect with"`
	JSON     bool          `long:"json" description:"Print the line of JSON alone"`
}

type mode workload.SessionMode

// UnmarshalFlag takes one of the session modes.
func (m *mode) UnmarshalFlag(text string) error {
	switch v := workload.SessionMode(text); v {
	case workload.SessionToken, workload.SessionID, workload.SessionConnection:
		*m = mode(v)
		return nil
	default:
		return errors.NotValidf("session mode %q", text)
	}
}

func main() {
	var o options
	program.Main("load", &o, func() error { return run(o) })
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	result, err := workload.Run(ctx, workload.Options{
		Entries: o.Entry, Services: o.Service, Duration: o.Duration, Rate: o.Rate,
		Callers: o.Callers, Browse: o.Browse, MaxAge: o.MaxAge, Move: o.Move,
		Mode: workload.SessionMode(o.Mode), Seed: o.Seed, User: o.User, Password: o.Password,
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := result.WriteReport(os.Stdout, o.JSON); err != nil {
		return errors.Trace(err)
	}
	if !result.Verdict.Good() {
		return errors.New("the history breaks a promise")
	}
	return nil
}
