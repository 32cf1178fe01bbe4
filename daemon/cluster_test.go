package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/daemon"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/settings"
	"github.com/kingcupknot/kingcupknot/standin"
)

const (
	// waitTimeout bounds every wait. No result depends on how long a wait took.
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

type (
	// cluster is a complete system in the test process, connected over
	// loopback.
	cluster struct {
		t         *testing.T
		settings  *settings.Settings
		running   map[catalog.VMID]*runningVM
		upstreams []*standin.Server
	}
	// runningVM is one run of a VM's daemon, from its start to its end.
	runningVM struct {
		cancel context.CancelFunc
		drain  chan struct{}
		done   chan error
	}
)

// freeAddresses returns n addresses on which no process listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out
}

// newCluster starts three control VMs, three entries and three upstreams. It
// retries with new addresses if another process has taken one of the free
// addresses in the meantime.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	const tries = 5
	for range tries {
		c := newStoppedCluster(t)
		t.Cleanup(c.close)
		if c.startVMs() {
			c.startUpstreams()
			c.awaitReady()
			return c
		}
		c.close()
	}
	t.Fatal("the VMs don't start")
	return nil
}

func (c *cluster) startVMs() bool {
	for _, v := range c.settings.VMs {
		c.launch(v.Name, c.t.TempDir())
	}
	for _, v := range c.settings.VMs {
		if !c.isLive(v.Name) {
			return false
		}
	}
	return true
}

// isLive waits until a VM answers its liveness check, and returns false if the
// VM ends first.
func (c *cluster) isLive(name catalog.VMID) bool {
	r := c.running[name]
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		select {
		case err := <-r.done:
			c.t.Logf("%s ended: %v", name, err)
			r.done <- err
			return false
		default:
		}
		a, err := http.Get("http://" + c.vm(name).AdminAddress + "/live")
		if err == nil {
			_ = a.Body.Close()
			return true
		}
	}
	return false
}

// start starts a VM, and retries until its addresses are free.
func (c *cluster) start(name catalog.VMID, data string) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		c.launch(name, data)
		if c.isLive(name) {
			return
		}
	}
	c.t.Fatalf("%s does not start", name)
}

func (c *cluster) awaitReady() {
	for _, v := range c.settings.VMs {
		if v.Role == settings.RoleEntry {
			c.mustRun(v.Name, "", fmt.Sprintf("INSERT INTO ready (key, value) VALUES ('%s', '1')", v.Name))
		}
	}
}

// newStoppedCluster returns a cluster without running VMs and upstreams.
func newStoppedCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, settings: settings.Default(), running: map[catalog.VMID]*runningVM{}}
	s := c.settings
	s.Log.Level, s.VMs, s.Control.Members = settings.LogError, nil, nil
	s.Services = []catalog.Service{{
		ID: "shop", Ack: catalog.AckReplicated, Instances: 3,
		Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 4, LocalShare: 2},
	}}
	free := freeAddresses(t, 15)
	for n, site := range s.Sites[:3] {
		a := free[5*n:]
		k := settings.VM{Name: catalog.VMID(fmt.Sprint("k", n+1)), Site: site, Role: settings.RoleControl, PeerAddress: a[0], AdminAddress: a[1]}
		e := settings.VM{Name: catalog.VMID(fmt.Sprint("e", n+1)), Site: site, Role: settings.RoleEntry, PeerAddress: a[2], AdminAddress: a[3], CallerAddress: a[4]}
		s.VMs = append(s.VMs, k, e)
		s.Control.Members = append(s.Control.Members, settings.Member{VM: k.Name, Site: site, Address: k.PeerAddress})
	}
	return c
}

func (c *cluster) startUpstreams() {
	follow := ""
	for n, id := range []catalog.InstanceID{"a", "b", "c"} {
		u, err := standin.Start(standin.Options{
			Service: "shop", Instance: id, Site: c.settings.Sites[n], Listen: "127.0.0.1:0", FollowAddress: follow,
			Announce: c.settings.AdminAddresses(settings.RoleEntry), Slots: 4, MaxConnections: 20,
		})
		if err != nil {
			c.t.Fatal(err)
		}
		c.upstreams = append(c.upstreams, u)
		follow = c.upstreams[0].Address
	}
}

func (c *cluster) vm(name catalog.VMID) settings.VM {
	v, err := c.settings.VM(name)
	if err != nil {
		c.t.Fatal(err)
	}
	return v
}

func (c *cluster) launch(name catalog.VMID, data string) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningVM{cancel: cancel, drain: make(chan struct{}), done: make(chan error, 1)}
	c.running[name] = r
	o := daemon.Options{Settings: c.settings, VM: c.vm(name), DataFolder: data, Bootstrap: true}
	go func() { r.done <- daemon.Run(ctx, o, r.drain) }()
}

// kill stops a VM without a drain.
func (c *cluster) kill(name catalog.VMID) {
	r := c.running[name]
	delete(c.running, name)
	r.cancel()
	<-r.done
}

// stop performs a planned stop of a VM and returns the result of Run.
func (c *cluster) stop(name catalog.VMID) error {
	r := c.running[name]
	delete(c.running, name)
	close(r.drain)
	defer r.cancel()
	select {
	case err := <-r.done:
		return err
	case <-time.After(waitTimeout):
		return errors.New("the VM did not stop")
	}
}

func (c *cluster) close() {
	for name := range c.running {
		c.kill(name)
	}
	for _, u := range c.upstreams {
		u.Stop()
	}
}

// stopPrimary stops the primary upstream and returns its index.
func (c *cluster) stopPrimary() int {
	for n, u := range c.upstreams {
		if role, _ := u.Status(); role == catalog.RolePrimary {
			u.Stop()
			return n
		}
	}
	c.t.Fatal("no primary")
	return 0
}

func (c *cluster) connect(entry catalog.VMID) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	p, err := pgx.Connect(ctx, "postgres://caller@"+c.vm(entry).CallerAddress+"/shop?sslmode=disable")
	if err == nil {
		c.t.Cleanup(func() { closeConn(p) })
	}
	return p, err
}

// mustConnect connects to a running entry.
func (c *cluster) mustConnect(entry catalog.VMID) *pgx.Conn {
	c.t.Helper()
	p, err := c.connect(entry)
	if err != nil {
		c.t.Fatal(err)
	}
	return p
}

func closeConn(p *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.Close(ctx)
}

func hintComment(hints string) string {
	if hints == "" {
		return ""
	}
	return "/* kingcupknot: " + hints + " */ "
}

// query runs one statement and returns the first value of its last row.
func query(p *pgx.Conn, hints, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	rows, err := p.Query(ctx, hintComment(hints)+text, pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return "", err
	}
	value := ""
	for rows.Next() {
		value = string(rows.RawValues()[0])
	}
	rows.Close()
	return value, rows.Err()
}

func isNotRun(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == "57P03" && strings.HasPrefix(e.Message, "not run:")
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// mustRun runs a statement through an entry on a new connection and returns the
// value. It retries statements that were refused as not run and, if they have a
// request id, also statements with an unknown outcome.
func (c *cluster) mustRun(entry catalog.VMID, hints, text string) string {
	c.t.Helper()
	var last error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		p, err := c.connect(entry)
		if err != nil {
			last = err
			continue
		}
		value, err := query(p, hints, text)
		closeConn(p)
		if err == nil {
			return value
		}
		last = err
		again := isNotRun(err) || strings.Contains(hints, "request=") && (sqlState(err) == "08007" || sqlState(err) == "57P01" || sqlState(err) == "")
		if !again {
			break
		}
	}
	c.t.Fatalf("%s at %s: %v", text, entry, last)
	return ""
}

// command sends an operator's command to a VM until a leader has answered it.
func (c *cluster) command(vm catalog.VMID, d node.Command) node.Reply {
	c.t.Helper()
	body, err := json.Marshal(d)
	if err != nil {
		c.t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		a, err := http.Post("http://"+c.vm(vm).AdminAddress+"/v1/command", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		var r node.Reply
		err = json.NewDecoder(a.Body).Decode(&r)
		_ = a.Body.Close()
		if err == nil && r.Code != node.ReplyNotLeader && r.Code != node.ReplyUnknown {
			return r
		}
	}
	c.t.Fatalf("%s did not answer a command", vm)
	return node.Reply{}
}

func (c *cluster) status(vm catalog.VMID) *node.Status {
	return c.command(vm, node.Command{Status: &node.StatusQuery{}}).Status
}
