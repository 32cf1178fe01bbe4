package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/standin"
)

// probeTime bounds one question to a process.
const probeTime = 2 * time.Second

// FetchStats asks a stand-in for its counts.
func FetchStats(address string) (standin.Stats, error) {
	var out standin.Stats
	c := http.Client{Timeout: probeTime}
	answer, err := c.Get("http://" + address + "/stats")
	if err != nil {
		return out, errors.Trace(err)
	}
	defer answer.Body.Close()
	return out, errors.Trace(json.NewDecoder(answer.Body).Decode(&out))
}

// FetchCounter asks a VM for one of its counters, 0 if it has not counted yet.
func FetchCounter(address, name string) (float64, error) {
	c := http.Client{Timeout: probeTime}
	answer, err := c.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer answer.Body.Close()
	s := bufio.NewScanner(answer.Body)
	for s.Scan() {
		if value, ok := strings.CutPrefix(s.Text(), "kingcupknot_"+name+" "); ok {
			n, err := strconv.ParseFloat(value, 64)
			return n, errors.Trace(err)
		}
	}
	return 0, errors.Trace(s.Err())
}

func connect(ctx context.Context, address, service string) (*pgx.Conn, error) {
	c, err := pgx.Connect(ctx, "postgres://caller@"+address+"/"+service+"?sslmode=disable")
	return c, errors.Trace(err)
}

// TimeReads reads one row over and over on one connection for a while and returns
// how long each read took.
func TimeReads(ctx context.Context, address, service string, mode pgx.QueryExecMode, length time.Duration) ([]time.Duration, error) {
	c, err := connect(ctx, address, service)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close(ctx) }()
	var took []time.Duration
	for end := time.Now().Add(length); time.Now().Before(end); {
		start := time.Now()
		if _, err := c.Exec(ctx, "SELECT value FROM register WHERE key = 'measure'", mode); err != nil {
			return nil, errors.Trace(err)
		}
		took = append(took, time.Since(start))
	}
	return took, nil
}

// CountConcurrentReads runs Ask on several connections side by side and counts the reads.
func CountConcurrentReads(ctx context.Context, address, service string, conns int, length time.Duration) int {
	var mu sync.Mutex
	var all sync.WaitGroup
	n := 0
	for range conns {
		all.Go(func() {
			took, _ := TimeReads(ctx, address, service, pgx.QueryExecModeSimpleProtocol, length)
			mu.Lock()
			defer mu.Unlock()
			n += len(took)
		})
	}
	all.Wait()
	return n
}

// HoldTransactions opens transactions at one entry and holds each open until the end. It
// returns how many began.
func HoldTransactions(ctx context.Context, address, service string, count int, length time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var mu sync.Mutex
	var all sync.WaitGroup
	began := 0
	for range count {
		all.Go(func() {
			c, err := connect(ctx, address, service)
			if err != nil {
				return
			}
			defer func() { _ = c.Close(context.Background()) }()
			for ctx.Err() == nil {
				if _, err := c.Exec(ctx, "BEGIN", pgx.QueryExecModeSimpleProtocol); err == nil {
					mu.Lock()
					began++
					mu.Unlock()
					<-ctx.Done()
				}
			}
		})
	}
	all.Wait()
	return began
}

const (
	// tick is the unit of processor times under /proc, as the kernel tells
	// all programs.
	tick = 10 * time.Millisecond
	// statUser and statSystem are fields of /proc/PID/stat, counted from the
	// one after the name.
	statUser   = 11
	statSystem = 12
)

// CPUTime returns what a process has used of the processors.
func CPUTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Trace(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	part := strings.Fields(rest)
	if len(part) <= statSystem {
		return 0, errors.Errorf("the stat file of process %d is short", pid)
	}
	user, err := strconv.Atoi(part[statUser])
	if err != nil {
		return 0, errors.Trace(err)
	}
	system, err := strconv.Atoi(part[statSystem])
	return time.Duration(user+system) * tick, errors.Trace(err)
}
