package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes and times of a small deployment, as the users' pages give them.
const (
	coreCount    = 3
	frontCount   = 6
	graceSeconds = 6
	// restartDelay is the short delay after which the platform starts an ended
	// process again.
	restartDelay = 300 * time.Millisecond
	callTimeout  = time.Second
)

// process is one daemon of the deployment.
type process struct {
	name, role, ip, settings string
	zone                     int
	words                    []string

	mutex     sync.Mutex
	command   *exec.Cmd
	shouldRun bool
	// downUntil is until when the process is not started again.
	downUntil time.Time
	exits     int
}

// fleet is the deployment: its processes and the stand-in of the platform.
type fleet struct {
	record        *record
	folder        string
	base          string
	ports         ports
	cores, fronts []*process
	client        http.Client
	cloud         string
	workers       sync.WaitGroup
	done          chan struct{}
	// ready holds which fronts answered the last question for readiness with 200.
	ready []atomic.Bool
}

// ports are the same on all machines.
type ports struct{ control, front, ready, internal, cloud int }

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	f := &fleet{record: r, folder: folder, done: make(chan struct{}), client: http.Client{
		Timeout: callTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	if err := f.chooseAddresses(); err != nil {
		return nil, err
	}
	roles, err := deployRoles()
	if err != nil {
		return nil, err
	}
	for n := range coreCount {
		f.cores = append(f.cores, &process{name: fmt.Sprintf("core-%d", n), role: "control", ip: f.ip(1, n), zone: n % 3, words: roles["control"]})
	}
	for n := range frontCount {
		f.fronts = append(f.fronts, &process{name: fmt.Sprintf("front-%d", n), role: "entry", ip: f.ip(2, n), zone: n % 3, words: roles["entry"]})
	}
	f.ready = make([]atomic.Bool, frontCount)
	for _, p := range f.all() {
		if err := f.writeSettings(p, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// chooseAddresses picks loopback addresses and free ports.
func (f *fleet) chooseAddresses() error {
	for try := range 50 {
		seed := os.Getpid()*7 + try*13
		f.base = fmt.Sprintf("127.%d.%d", 20+seed%200, seed/200%250)
		first := 20000 + seed%2000*16
		f.ports = ports{control: first, front: first + 1, ready: first + 2, cloud: first + 3, internal: first + 4}
		if f.areFree() {
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errNotRun)
}

func (f *fleet) areFree() bool {
	for _, port := range []int{f.ports.control, f.ports.front, f.ports.ready, f.ports.cloud, f.ports.internal, f.ports.internal + 1} {
		l, err := net.Listen("tcp", net.JoinHostPort(f.ip(1, 0), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		if err := l.Close(); err != nil {
			return false
		}
	}
	return true
}

// ip returns address n of a kind of machine.
func (f *fleet) ip(kind, n int) string { return fmt.Sprintf("%s.%d", f.base, kind*40+n+1) }

func (f *fleet) all() []*process { return append(append([]*process{}, f.cores...), f.fronts...) }

// deployRoles returns the words of the commands of the deploy file's roles.
func deployRoles() (map[string][]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	out := map[string][]string{}
	for _, m := range regexp.MustCompile(`(?s)\[roles\.(\w+)\]\s*run = "([^"]*)"`).FindAllStringSubmatch(string(text), -1) {
		out[m[1]] = strings.Fields(m[2])
	}
	return out, nil
}

func (f *fleet) writeSettings(p *process, bootstrap bool) error {
	listen := map[string]string{"front": f.address(p.ip, f.ports.front), "ready": f.address(p.ip, f.ports.ready)}
	var data any
	class := "front"
	if p.role == "control" {
		listen, class = map[string]string{"control": f.address(p.ip, f.ports.control)}, "core"
		data = filepath.Join(f.folder, p.name+".data")
	}
	var seeds []string
	for _, c := range f.cores {
		seeds = append(seeds, f.address(c.ip, f.ports.control))
	}
	f.cloud = f.address(f.ip(0, 0), f.ports.cloud)
	text, err := json.Marshal(map[string]any{
		"node_name": p.name, "role": p.role, "machine_class": class, "ip": p.ip, "zone": fmt.Sprintf("muscat-%c", 'a'+p.zone), "region": "muscat",
		"listen_addrs": listen, "internal_ports": []int{f.ports.internal, f.ports.internal + 11}, "seeds": seeds, "bootstrap": bootstrap,
		"loss_counted": p.role == "control", "data_dir": data, "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"limits":           map[string]any{"max_fds": 4200, "memory_mb": 284, "cores": 1},
		"fault_tolerance":  map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds":           map[string]any{"grace_s": graceSeconds, "drain_ms": 7000, "config_apply_ms": 3000, "fencing_required": true},
		"config_mode":      "highest",
		nameOf("platform"): map[string]any{"address": f.cloud, "duties": []string{"promotion"}, "duty_per_s": 50},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	p.settings = filepath.Join(f.folder, p.name+".json")
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	return nil
}

func (f *fleet) address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts all processes.
func (f *fleet) start() {
	for _, p := range f.all() {
		p.shouldRun = true
		f.spawn(func() { f.supervise(p) })
	}
	for n, p := range f.fronts {
		f.spawn(func() {
			f.every(time.Second, func() {
				code, _, _, err := f.call(http.MethodGet, f.address(p.ip, f.ports.ready), nameOf("readiness-path"), "")
				f.ready[n].Store(err == nil && code == http.StatusOK)
			})
		})
	}
}

func (f *fleet) spawn(do func()) {
	f.workers.Add(1)
	go func() {
		defer f.workers.Done()
		do()
	}()
}

func (f *fleet) every(d time.Duration, do func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-t.C:
			do()
		}
	}
}

// supervise starts a process again whenever it ends, after restartDelay.
func (f *fleet) supervise(p *process) {
	// The kernel kills the process if the thread that started it ends.
	runtime.LockOSThread()
	for {
		p.mutex.Lock()
		if !p.shouldRun {
			p.mutex.Unlock()
			return
		}
		if time.Now().Before(p.downUntil) {
			p.mutex.Unlock()
			time.Sleep(5 * time.Millisecond)
			continue
		}
		command, err := f.launch(p)
		p.mutex.Unlock()
		if err != nil {
			f.record.printf("%s did not start: %v", p.name, err)
			return
		}
		err = command.Wait()
		p.mutex.Lock()
		p.exits++
		shouldRun := p.shouldRun
		p.mutex.Unlock()
		if shouldRun {
			f.record.printf("%s ended: %v", p.name, err)
		}
		time.Sleep(restartDelay)
	}
}

func (f *fleet) launch(p *process) (*exec.Cmd, error) {
	words := append([]string{}, p.words...)
	for n, word := range words {
		if word == nameOf("settings-file") {
			words[n] = p.settings
		}
	}
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.command = exec.Command(words[0], words[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), nameOf("settings-variable") + "=" + p.settings}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.command, p.command.Start()
}

// signal sends a signal to a process that this run has started.
func (f *fleet) signal(p *process, s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	f.record.printf("signal %v to %s", s, p.name)
	if err := p.command.Process.Signal(s); err != nil {
		f.record.printf("signal to %s: %v", p.name, err)
	}
}

func (f *fleet) stop() {
	close(f.done)
	for _, p := range f.all() {
		p.mutex.Lock()
		p.shouldRun = false
		if p.command != nil && p.command.Process != nil {
			// An error means that the process has ended.
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
		}
		p.mutex.Unlock()
	}
	f.workers.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}

// call sends one HTTP request and returns the code, the body and the redirection.
func (f *fleet) call(method, host, path, body string) (int, string, string, error) {
	q, err := http.NewRequest(method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	if body != "" {
		q.Header.Set("Content-Type", "application/json")
	}
	a, err := f.client.Do(q)
	if err != nil {
		return 0, "", "", err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	return a.StatusCode, string(data), a.Header.Get("Location"), err
}

// maxRedirects is how often callers of control follow a redirection.
const maxRedirects = 2

// callControl calls a core machine and follows redirections.
func (f *fleet) callControl(n int, method, path, body string) (int, string, error) {
	host := f.address(f.cores[n%coreCount].ip, f.ports.control)
	for redirects := 0; ; redirects++ {
		code, data, location, err := f.call(method, host, path, body)
		if err != nil || code != http.StatusTemporaryRedirect || redirects == maxRedirects {
			return code, data, err
		}
		rest, _ := strings.CutPrefix(location, "http://")
		at := strings.Index(rest, "/")
		if at < 0 {
			return code, data, nil
		}
		host, path = rest[:at], rest[at:]
	}
}

// leader returns the core machine that answers a read of the manifest itself.
func (f *fleet) leader() *process {
	for _, p := range f.cores {
		code, _, _, err := f.call(http.MethodGet, f.address(p.ip, f.ports.control), nameOf("manifest-path"), "")
		if err == nil && code == http.StatusOK {
			return p
		}
	}
	return nil
}

// putManifest sends a manifest, as the operator does, until it is acknowledged.
func (f *fleet) putManifest(text string, limit time.Duration) bool {
	n := 0
	return waitFor(limit, func() bool {
		n++
		code, _, err := f.callControl(n, http.MethodPut, nameOf("manifest-path"), text)
		f.record.printf("manifest sent to core-%d: %d %v", n%coreCount, code, err)
		if err != nil || code != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
			return false
		}
		return true
	})
}
