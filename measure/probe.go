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

// requestTimeout bounds one question to a process.
const requestTimeout = 2 * time.Second

// FetchStats asks a stand-in for its counts.
func FetchStats(address string) (standin.Stats, error) {
	var out standin.Stats
	c := http.Client{Timeout: requestTimeout}
	response, err := c.Get("http://" + address + "/stats")
	if err != nil {
		return out, errors.Trace(err)
	}
	defer response.Body.Close()
	return out, errors.Trace(json.NewDecoder(response.Body).Decode(&out))
}

// FetchCounter asks a VM for one of its counters, 0 if it has not counted yet.
func FetchCounter(address, name string) (float64, error) {
	c := http.Client{Timeout: requestTimeout}
	response, err := c.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer response.Body.Close()
	s := bufio.NewScanner(response.Body)
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
func TimeReads(ctx context.Context, address, service string, mode pgx.QueryExecMode, duration time.Duration) ([]time.Duration, error) {
	c, err := connect(ctx, address, service)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close(ctx) }()
	var latencies []time.Duration
	for end := time.Now().Add(duration); time.Now().Before(end); {
		start := time.Now()
		if _, err := c.Exec(ctx, "SELECT value FROM register WHERE key = 'measure'", mode); err != nil {
			return nil, errors.Trace(err)
		}
		latencies = append(latencies, time.Since(start))
	}
	return latencies, nil
}

// CountConcurrentReads runs Ask on several connections side by side and counts the reads.
func CountConcurrentReads(ctx context.Context, address, service string, conns int, duration time.Duration) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	for range conns {
		wg.Go(func() {
			latencies, _ := TimeReads(ctx, address, service, pgx.QueryExecModeSimpleProtocol, duration)
			mu.Lock()
			defer mu.Unlock()
			n += len(latencies)
		})
	}
	wg.Wait()
	return n
}

// HoldTransactions opens transactions at one entry and holds each open until the end. It
// returns how many began.
func HoldTransactions(ctx context.Context, address, service string, count int, duration time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := 0
	for range count {
		wg.Go(func() {
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
	wg.Wait()
	return began
}

const (
	// clockTick is the unit of processor times under /proc, as the kernel tells
	// all programs.
	clockTick = 10 * time.Millisecond
	// statUserTime and statSystem are fields of /proc/PID/stat, counted from the
	// one after the name.
	statUserTime   = 11
	statSystemTime = 12
)

// CPUTime returns what a process has used of the processors.
func CPUTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Trace(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	statFields := strings.Fields(rest)
	if len(statFields) <= statSystemTime {
		return 0, errors.Errorf("the stat file of process %d is short", pid)
	}
	user, err := strconv.Atoi(statFields[statUserTime])
	if err != nil {
		return 0, errors.Trace(err)
	}
	system, err := strconv.Atoi(statFields[statSystemTime])
	return time.Duration(user+system) * clockTick, errors.Trace(err)
}
