package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The limits of the small deployment on the users' sheets.
const (
	controllerMemoryMB = 280
	entryMemoryMB      = 284
)

const (
	controlPort = 18166
	callerPort  = 18161
	readyPort   = 18167
	firstPeer   = 17720
	lastPeer    = 17735
)

// program is what the build line of the deploy file places, and metricsPort the port in its run lines.
const (
	program     = "target/galenamoor"
	metricsPort = "9100"
)

// process is one daemon. The platform starts it, and again after each end.
type process struct {
	name, role, ip string
	memoryMB       int

	mutex    sync.Mutex
	command  *exec.Cmd
	ownEnds  int // ends that nobody ordered; those for memory over the limit count
	peakMB   int
	stopping bool
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	folder      string
	network     int // second byte of its addresses
	claim       net.Listener
	record      *record
	controllers []*process
	entries     []*process
	watchers    sync.WaitGroup

	started sync.Map // number of starts that executors have carried out (*atomic.Int64), by job
}

// newCluster starts controllers and entries.
func newCluster(record *record, controllers, entries int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, record: record}
	if err := c.claimNetwork(); err != nil {
		return nil, err
	}
	for i := range controllers {
		c.controllers = append(c.controllers, &process{
			name: fmt.Sprintf("core-%d", i+1), role: "controller", ip: c.address(41, i+1), memoryMB: controllerMemoryMB,
		})
	}
	for i := range entries {
		c.entries = append(c.entries, &process{
			name: fmt.Sprintf("edge-%d", i+1), role: "entry", ip: c.address(42, i+1), memoryMB: entryMemoryMB,
		})
	}
	for _, p := range c.processes() {
		if err := c.writeSettings(p, true); err != nil {
			return nil, err
		}
		if err := c.start(p); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// claimNetwork finds loopback addresses that no other run uses, and claims them until the run ends.
func (c *cluster) claimNetwork() error {
	const first, count = 20, 200
	for attempt := range count {
		c.network = first + (os.Getpid()+attempt)%count
		claim, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.address(40, 1), controlPort))
		if err == nil {
			c.claim = claim
			return nil
		}
	}
	return fmt.Errorf("other runs use all loopback networks")
}

// noteStart counts a start that an executor has carried out.
func (c *cluster) noteStart(task string) {
	job, _, _ := strings.Cut(task, ".")
	count, _ := c.started.LoadOrStore(job, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
}

// starts returns the number of starts of a job's tasks.
func (c *cluster) starts(job string) int64 {
	count, ok := c.started.Load(job)
	if !ok {
		return 0
	}
	return count.(*atomic.Int64).Load()
}

func (c *cluster) address(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network, group, host)
}

func (c *cluster) processes() []*process {
	return append(append([]*process{}, c.controllers...), c.entries...)
}

func (c *cluster) settingsPath(p *process) string { return filepath.Join(c.folder, p.name+".toml") }

// writeSettings writes the settings file of a process, with the fields and bounds that the users' pages show.
func (c *cluster) writeSettings(p *process, bootstrap bool) error {
	var seeds []string
	for _, seed := range c.controllers {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed.ip, controlPort)))
	}
	class, serves := "edge", "edge"
	listen := fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", p.ip, callerPort, p.ip, readyPort)
	if p.role == "controller" {
		class, serves = "core", "control_plane"
		listen = fmt.Sprintf("control = \"%s:%d\"", p.ip, controlPort)
	}
	text := fmt.Sprintf(`node = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = "swakop"
region = "namib-west"
port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
fault_counted = %t
data_dir = %q
discovery = "registration"
entry = "virtual_ip"
heartbeat_ms = 1500
config_mode = "highest"
orders = "invocation"
[zones]
swakop = "namib-west"
[listen]
%s
[limits]
cores = 1
memory_mb = %d
max_fds = 4100
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_ms = 2000
evacuate_ms = 5000
max_hold_ms = 6000
stop_grace_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
remote_factor = 2
checkpoint_interval_s = 1
restore_ms = 250
lease_ms = 3000
harm_ms = 4000
`, p.name, "review-"+p.role, class, serves, p.ip, firstPeer, lastPeer, strings.Join(seeds, ","), bootstrap, class == "core",
		filepath.Join(c.folder, p.name+".data"), listen, p.memoryMB)
	return os.WriteFile(c.settingsPath(p), []byte(text), 0o600)
}

// start starts a process as the deploy file does, and watches it.
func (c *cluster) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(c.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, p.role, "--metrics-port", metricsPort)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "GALENAMOOR_NODE_FILE=" + c.settingsPath(p)}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p.mutex.Lock()
	p.command = command
	p.mutex.Unlock()
	c.watchers.Add(1)
	go func() {
		defer c.watchers.Done()
		c.watch(p, command)
	}()
	return nil
}

// close ends all processes that it started and removes their files.
func (c *cluster) close() {
	for _, p := range c.processes() {
		p.mutex.Lock()
		p.stopping = true
		if p.command != nil {
			_ = p.command.Process.Kill()
		}
		p.mutex.Unlock()
	}
	c.watchers.Wait()
	_ = c.claim.Close()
	_ = os.RemoveAll(c.folder)
}

// restartDelay is the short delay after which the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond
