package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes, the same at all addresses.
const (
	controlPort  = 8782
	platformPort = 8783
	callerPort   = 8784
	readyPort    = 8785
)

// Subnets of the addresses.
const (
	subnetControl = iota + 1
	subnetEntry
	subnetInstance
	subnetPlatform
)

// process is one process of the deployment.
type process struct {
	name, ip, settings, data string
	control                  bool
	command                  *exec.Cmd
	exited                   chan struct{}
}

// fleet is a small deployment on loopback addresses: three control VMs, two entries
// in each of three zones, one service with three instances.
type fleet struct {
	program, folder string
	net             int
	record          *recorder
	database        *database
	control         []*process
	entries         []*process
	client          http.Client
	stop            chan struct{}
	workers         sync.WaitGroup
	// ready holds the entries that the platform sends new callers to.
	readyMutex sync.Mutex
	ready      []string
	misses     map[string]int
	listeners  []io.Closer
	// starts are calls for the thread that starts all processes: each process ends
	// with that thread. started is sent to after each.
	starts  chan func()
	started chan struct{}
}

const (
	zoneCount       = 3
	entriesPerZone  = 2
	heartbeat       = 1200 * time.Millisecond
	controlCallTime = time.Second
	firstVersion    = 2
	// startTime is how long the deployment may take to start.
	startTime = 20 * time.Second
)

func newFleet(program, folder string, r *recorder) (*fleet, error) {
	f := &fleet{
		program: program, folder: folder, record: r, stop: make(chan struct{}),
		client: http.Client{Timeout: controlCallTime}, misses: map[string]int{},
		starts: make(chan func()), started: make(chan struct{}),
	}
	go func() {
		runtime.LockOSThread()
		for start := range f.starts {
			start()
		}
	}()
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	var addresses, zones []string
	for n := range zoneCount {
		addresses = append(addresses, net.JoinHostPort(f.ip(subnetInstance, n), "0"))
		zones = append(zones, f.zone(n))
	}
	var err error
	if f.database, err = newDatabase("tonewood", addresses, zones, r); err != nil {
		return nil, err
	}
	for n := range zoneCount {
		f.control = append(f.control, &process{name: "core-" + f.zone(n), ip: f.ip(subnetControl, n), control: true})
	}
	for n := range zoneCount * entriesPerZone {
		f.entries = append(f.entries, &process{name: fmt.Sprintf("front-%s-%d", f.zone(n%zoneCount), n/zoneCount+1), ip: f.ip(subnetEntry, n)})
	}
	for n, p := range append(append([]*process{}, f.control...), f.entries...) {
		if err := f.writeSettings(p, f.zone(n%zoneCount), true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) ip(subnet, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, subnet, n+1) }

func (f *fleet) zone(n int) string { return "muscat-" + string(rune('a'+n)) }

func (f *fleet) platformAddress() string {
	return net.JoinHostPort(f.ip(subnetPlatform, 0), strconv.Itoa(platformPort))
}

// startPlatform takes loopback addresses that no other case uses, and serves POST
// /promotion.
func (f *fleet) startPlatform() error {
	const firstNet, nets = 40, 180
	var l net.Listener
	err := errors.New("no free addresses")
	for n := 0; n < nets && err != nil; n++ {
		f.net = firstNet + (os.Getpid()+n)%nets
		l, err = net.Listen("tcp", f.platformAddress())
	}
	if err != nil {
		return err
	}
	f.listeners = append(f.listeners, l)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		fence, err := strconv.ParseUint(r.Header.Get(names["fence"]), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(f.database.promote(body.ID, fence, r.Header.Get(names["holder"])))
	})
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

// writeSettings writes a settings file with the fields of DEPLOY.md.
func (f *fleet) writeSettings(p *process, zone string, bootstrap bool) error {
	listen := map[string]string{"front": p.ip + ":" + strconv.Itoa(callerPort), "ready": p.ip + ":" + strconv.Itoa(readyPort)}
	var data any
	class, serves := "front", "front"
	if p.control {
		listen = map[string]string{"control": p.ip + ":" + strconv.Itoa(controlPort)}
		class, serves = "core", "control"
		p.data = filepath.Join(f.folder, p.name)
		if err := os.MkdirAll(p.data, 0o700); err != nil {
			return err
		}
		data = p.data
	}
	var seeds []string
	for n := range zoneCount {
		seeds = append(seeds, f.ip(subnetControl, n)+":"+strconv.Itoa(controlPort))
	}
	text := fill(settingsText, "NAME", p.name, "CLASS", class, "SERVES", serves, "IP", p.ip, "ZONE", zone, "LISTEN", asJSON(listen), "SEEDS", asJSON(seeds),
		"BOOTSTRAP", strconv.FormatBool(bootstrap), "COUNTED", strconv.FormatBool(p.control), "DATA", asJSON(data), "PLATFORM", f.platformAddress())
	p.settings = filepath.Join(f.folder, p.name+".json")
	// A process never reads a part of the file.
	if err := os.WriteFile(p.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(p.settings+".new", p.settings)
}

// startProcess starts a process with the command of the deploy file.
func (f *fleet) startProcess(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(f.program, "--platform", p.settings, "--balance-sites")
	c.Stdout, c.Stderr = log, log
	c.Env = append(os.Environ(), names["file"]+"="+p.settings)
	// No process is left over if the case itself is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.starts <- func() { err = c.Start(); f.started <- struct{}{} }
	<-f.started
	if err != nil {
		return err
	}
	p.command, p.exited = c, make(chan struct{})
	f.record.printf("process: %s starts", p.name)
	exited := p.exited
	go func() {
		f.record.printf("process: %s ended: %v", p.name, c.Wait())
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends a process at once, as a loss of power does, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// every calls do at intervals until the fleet stops.
func (f *fleet) every(d time.Duration, do func()) {
	f.workers.Add(1)
	go func() {
		defer f.workers.Done()
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-f.stop:
				return
			case <-t.C:
				do()
			}
		}
	}()
}

// start starts all processes and the stand-ins' work.
func (f *fleet) start() error {
	for _, p := range append(append([]*process{}, f.control...), f.entries...) {
		if err := f.startProcess(p); err != nil {
			return err
		}
	}
	f.every(replicationInterval, f.database.replicate)
	for _, i := range f.database.instances {
		f.every(heartbeat, func() { f.beat(i) })
		go f.beat(i)
	}
	f.every(time.Second, f.pollReadiness)
	return nil
}

// begin waits until the first manifest is acknowledged, and then writes the settings
// of later starts.
func (f *fleet) begin() error {
	if !f.adopt(firstVersion, startTime) {
		return errors.New("no manifest was acknowledged")
	}
	for n, p := range append(append([]*process{}, f.control...), f.entries...) {
		if err := f.writeSettings(p, f.zone(n%zoneCount), false); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	close(f.stop)
	f.workers.Wait()
	for _, p := range append(append([]*process{}, f.control...), f.entries...) {
		if p.command != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
	for _, i := range f.database.instances {
		_ = i.listener.Close()
	}
}

// call sends a request to a control VM and follows redirects.
func (f *fleet) call(n int, method, path, body string) (int, string) {
	url := "http://" + f.ip(subnetControl, n%zoneCount) + ":" + strconv.Itoa(controlPort) + path
	q, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := f.client.Do(q)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, ""
	}
	return a.StatusCode, string(data)
}

// beat sends an instance's heartbeat, to the next node after a failure.
func (f *fleet) beat(i *instance) {
	for range zoneCount {
		d := f.database
		d.mutex.Lock()
		role := "replica"
		if i.isPrimary {
			role = "primary"
		}
		i.sequence++
		body := fill(heartbeatText, "SERVICE", d.service, "ADDRESS", i.address, "ZONE", i.zone, "SLOTS", strconv.Itoa(slots), "ROLE", role,
			"BORN", strconv.FormatInt(i.born, 10), "SEQUENCE", strconv.Itoa(i.sequence))
		down, to := i.down, i.heartbeatNext
		d.mutex.Unlock()
		if down {
			return
		}
		if code, _ := f.call(to, http.MethodPut, names["instances"]+i.id, body); code/100 == 2 {
			d.mutex.Lock()
			i.registered = true
			d.mutex.Unlock()
			return
		}
		d.mutex.Lock()
		i.heartbeatNext++
		d.mutex.Unlock()
	}
}

// manifest returns a manifest with one route of each type.
func (f *fleet) manifest(version int) string {
	return fill(manifestText, "VERSION", strconv.Itoa(version), "SERVICE", f.database.service)
}

// adopt sends a manifest until it is acknowledged.
func (f *fleet) adopt(version int, within time.Duration) bool {
	for end, n := time.Now().Add(within), 0; time.Now().Before(end); n++ {
		if code, _ := f.call(n, http.MethodPut, names["config"], f.manifest(version)); code == http.StatusOK {
			f.record.printf("operator: version %d is acknowledged", version)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// pollReadiness asks each entry as the platform does: after two misses an entry gets
// no new connections until it answers with 200.
func (f *fleet) pollReadiness() {
	var ready []string
	for _, p := range f.entries {
		a, err := f.client.Get("http://" + p.ip + ":" + strconv.Itoa(readyPort) + names["readiness"])
		ok := err == nil && a.StatusCode == http.StatusOK
		if err == nil {
			_ = a.Body.Close()
		}
		f.misses[p.ip]++
		if ok {
			f.misses[p.ip] = 0
		}
		if f.misses[p.ip] < 2 {
			ready = append(ready, p.ip)
		}
	}
	f.readyMutex.Lock()
	defer f.readyMutex.Unlock()
	f.ready = ready
}

// entryFor returns the entry for a new connection: one in rotation, or any if none is.
func (f *fleet) entryFor(n int) string {
	f.readyMutex.Lock()
	defer f.readyMutex.Unlock()
	if len(f.ready) == 0 {
		return f.entries[n%len(f.entries)].ip
	}
	return f.ready[n%len(f.ready)]
}
