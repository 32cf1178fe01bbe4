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

// requestTimeout bounds one HTTP request to a process.
const requestTimeout = 2 * time.Second

// FetchStats returns the statistics of the stand-in whose HTTP server listens at
// address.
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

// FetchCounter returns a counter of the VM whose HTTP server listens at address,
// or 0 if the VM does not export that counter yet. The name is the exported one,
// without the prefix kingcupknot_.
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

// TimeReads reads one row repeatedly on one connection for the given duration
// and returns the latency of each read.
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

// CountConcurrentReads runs TimeReads on several connections concurrently and
// returns the number of reads. A connection that fails contributes none.
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

// HoldTransactions opens count transactions at one entry, each on a connection of
// its own, and keeps them open until the duration has passed. It retries a BEGIN
// that fails, but not a connection. It returns the number of transactions that
// began.
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
	// clockTick is the unit of the processor times in /proc/PID/stat on Linux.
	clockTick = 10 * time.Millisecond
	// statUserTime and statSystemTime are indexes of fields of /proc/PID/stat,
	// counted from the field after the process name.
	statUserTime   = 11
	statSystemTime = 12
)

// CPUTime returns the sum of the user and system time that a process has used.
func CPUTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Trace(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	statFields := strings.Fields(rest)
	if len(statFields) <= statSystemTime {
		return 0, errors.Errorf("the stat file of process %d has too few fields", pid)
	}
	user, err := strconv.Atoi(statFields[statUserTime])
	if err != nil {
		return 0, errors.Trace(err)
	}
	system, err := strconv.Atoi(statFields[statSystemTime])
	return time.Duration(user+system) * clockTick, errors.Trace(err)
}
