package main

import (
	"encoding/json"
	"errors"
	"fmt"
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

// The sizes and bounds are those of a small deployment.
const (
	coreCount   = 3
	entryCount  = 6
	zoneCount   = 3
	heartbeat   = 1200 * time.Millisecond
	configApply = 3 * time.Second
	drainTime   = 7 * time.Second
	stableTime  = 4 * time.Second
)

// process is one daemon of the deployment.
type process struct {
	name, address, settings string
	isControl               bool
	zone                    int

	mutex     sync.Mutex
	command   *exec.Cmd
	shouldRun bool
}

// ports are the ports of the deployment, the same on all machines.
type ports struct {
	front, ready, control, internal, platform, server int
}

// deployment is the system with the stand-ins around it.
type deployment struct {
	program, folder string
	record          *recorder
	subnet          int
	ports           ports
	processes       []*process
	cluster         *cluster
	client          http.Client
	listeners       []net.Listener
	done            chan struct{}
	workers         sync.WaitGroup
	stopOnce        sync.Once
}

// newDeployment finds free addresses. It starts nothing.
func newDeployment(program, folder string, r *recorder) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	d := &deployment{program: program, folder: folder, record: r, done: make(chan struct{}), client: http.Client{Timeout: time.Second}}
	for try := range 50 {
		d.subnet = 20 + (os.Getpid()+7*try)%200
		base := 20000 + (os.Getpid()*31+try*997)%8000
		d.ports = ports{front: base, ready: base + 1, control: base + 2, internal: base + 3, platform: base + 19, server: base + 20}
		if d.areFree() {
			return d, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// ip returns loopback address n of a group of machines.
func (d *deployment) ip(group, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.subnet, group, n+1)
}

// Groups of machines.
const (
	groupCore = iota + 1
	groupEntry
	groupServer
	groupPlatform
)

func (d *deployment) areFree() bool {
	for n := range entryCount {
		for group := groupCore; group <= groupPlatform; group++ {
			for _, port := range []int{d.ports.front, d.ports.ready, d.ports.control, d.ports.internal, d.ports.internal + 1, d.ports.platform, d.ports.server} {
				l, err := net.Listen("tcp", net.JoinHostPort(d.ip(group, n), strconv.Itoa(port)))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func (d *deployment) controlAddress(n int) string {
	return net.JoinHostPort(d.ip(groupCore, n%coreCount), strconv.Itoa(d.ports.control))
}

func (d *deployment) frontAddress(n int) string {
	return net.JoinHostPort(d.ip(groupEntry, n%entryCount), strconv.Itoa(d.ports.front))
}

func (d *deployment) spawn(do func()) {
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		do()
	}()
}

// every calls do at intervals until the deployment stops.
func (d *deployment) every(interval time.Duration, do func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-d.done:
			return
		case <-t.C:
			do()
		}
	}
}

// start starts everything and waits until each entry serves by the manifest.
func (d *deployment) start(m manifest) error {
	if err := d.startProcesses(); err != nil {
		return err
	}
	if _, err := d.apply(m, 20*time.Second); err != nil {
		return err
	}
	if err := d.awaitService(20 * time.Second); err != nil {
		return err
	}
	for _, p := range d.processes {
		if err := d.writeSettings(p, false); err != nil {
			return err
		}
	}
	return nil
}

// startProcesses starts the servers with their heartbeats, the platform and the
// processes.
func (d *deployment) startProcesses() error {
	d.cluster = newCluster()
	c := d.cluster
	if err := c.start(d); err != nil {
		return err
	}
	if err := d.startPlatform(); err != nil {
		return err
	}
	for n := range coreCount {
		d.processes = append(d.processes, &process{name: fmt.Sprintf("core-%d", n+1), address: d.ip(groupCore, n), isControl: true, zone: n % zoneCount})
	}
	for n := range entryCount {
		d.processes = append(d.processes, &process{name: fmt.Sprintf("front-%d", n+1), address: d.ip(groupEntry, n), zone: n % zoneCount})
	}
	for _, p := range d.processes {
		if err := d.writeSettings(p, true); err != nil {
			return err
		}
		d.startProcess(p)
	}
	return nil
}

// writeSettings writes the settings file of a process.
func (d *deployment) writeSettings(p *process, bootstrap bool) error {
	join := func(port int) string { return net.JoinHostPort(p.address, strconv.Itoa(port)) }
	listen, class, serves := map[string]string{"front": join(d.ports.front), "ready": join(d.ports.ready)}, "front", "front"
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0}
	var data any
	if p.isControl {
		listen, class, serves = map[string]string{"control": join(d.ports.control)}, "core", "control"
		limits = map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		data = filepath.Join(d.folder, p.name+".data")
	}
	var seeds []string
	zones := map[string]string{}
	for n := range coreCount {
		seeds = append(seeds, d.controlAddress(n))
	}
	for n := range zoneCount {
		zones[zoneName(n)] = "region"
	}
	text, err := json.MarshalIndent(map[string]any{
		"node_name": p.name, "role": class, "machine_class": class, "serves": []string{serves}, "ip": p.address, "zone": zoneName(p.zone),
		"region": "region", "zones": zones, "listen_addrs": listen, "internal_ports": []int{d.ports.internal, d.ports.internal + 15},
		"seeds": seeds, "bootstrap": bootstrap, "loss_counted": p.isControl, "limits": limits, "data_dir": data,
		"discovery": "registry", "entry_type": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sql"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": stableTime.Milliseconds(), "ack_ms": 5000, "catch_up_s": 4, "drain_ms": drainTime.Milliseconds(), "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": configApply.Milliseconds(), "rollback_slack_ms": 250, "max_stretch_ms": 12000,
			"recovery_s": 12, "fencing_required": true, "thaw_ms": 300,
		},
		"config_mode":         "highest",
		names.PlatformSetting: map[string]any{"address": d.platformAddress(), "rate_per_s": 50.0, "duties": []string{"promotion"}, "duty_per_s": 50.0},
	}, "", " ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(d.folder, p.name+".json")
	return os.WriteFile(p.settings, text, 0o600)
}

func zoneName(n int) string { return fmt.Sprintf("zone-%c", 'a'+n) }

// startProcess starts a process, and again whenever it ends.
func (d *deployment) startProcess(p *process) {
	p.shouldRun = true
	d.spawn(func() {
		// The kernel ends the process when the thread that started it ends, so
		// that nothing is left over.
		runtime.LockOSThread()
		for d.runProcess(p) {
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// runProcess runs a process until it ends. It reports whether to start it again.
func (d *deployment) runProcess(p *process) bool {
	p.mutex.Lock()
	if !p.shouldRun {
		p.mutex.Unlock()
		return false
	}
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.mutex.Unlock()
		return false
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(d.program, "--platform", p.settings, "--balance-sites")
	c.Stdout, c.Stderr, c.Dir = log, log, d.folder
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		p.mutex.Unlock()
		d.record.add(p.name, "did not start: %v", err)
		return false
	}
	p.command = c
	p.mutex.Unlock()
	d.record.add(p.name, "started")
	err = c.Wait()
	d.record.add(p.name, "ended: %v", err)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.command = nil
	return p.shouldRun
}

// signal sends a signal to a process of the deployment, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		// A process that has just ended needs no signal.
		_ = p.command.Process.Signal(s)
	}
}

// stop ends all processes and stand-ins. If KEEP is set, it keeps the logs there.
func (d *deployment) stop() {
	d.stopOnce.Do(func() {
		close(d.done)
		for _, p := range d.processes {
			p.mutex.Lock()
			p.shouldRun = false
			p.mutex.Unlock()
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
		for _, l := range d.listeners {
			_ = l.Close()
		}
		if d.cluster != nil {
			d.cluster.closeConns()
		}
		d.workers.Wait()
		if keep := os.Getenv("KEEP"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(d.folder))
		}
	})
}
