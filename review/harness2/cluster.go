package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	controllers = 3
	entries     = 2

	controlPort = 18166
	callerPort  = 18161
	readyPort   = 18167
	peerPort    = 17720
)

// network is the second byte of the loopback addresses of this run, so that concurrent runs use different ones.
var network = 20 + os.Getpid()%200

func controllerIP(n int) string { return fmt.Sprintf("127.%d.51.%d", network, n+1) }
func entryIP(n int) string      { return fmt.Sprintf("127.%d.52.%d", network, n+1) }
func executorIP(n int) string   { return fmt.Sprintf("127.%d.53.%d", network, n+1) }
func platformIP() string        { return fmt.Sprintf("127.%d.54.1", network) }

// process is a controller or an entry, started as the deploy file does.
type process struct {
	name     string
	role     string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// cluster is the system under test: its processes with their settings and data folders.
type cluster struct {
	record  *record
	folder  string
	program string
	members []*process // controllers, then entries
	advice  string     // address of the advice service, empty if there is none
	hosts   string     // address of the platform's list of machines
}

// newCluster writes the settings of all processes.
func newCluster(r *record, program string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	return &cluster{record: r, folder: folder, program: program}, nil
}

// start starts all processes with empty data folders.
func (c *cluster) start() error {
	for i := range controllers {
		c.members = append(c.members, c.newProcess("controller", i, controllerIP(i), fmt.Sprintf("control = \"%s:%d\"", controllerIP(i), controlPort)))
	}
	for i := range entries {
		c.members = append(c.members, c.newProcess("entry", i, entryIP(i), fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", entryIP(i), callerPort, entryIP(i), readyPort)))
	}
	for _, p := range c.members {
		if err := c.run(p); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) newProcess(role string, n int, ip, listen string) *process {
	name := fmt.Sprintf("%s-%d", role, n)
	var seeds []string
	for i := range controllers {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", controllerIP(i), controlPort))
	}
	data := ""
	if role == "controller" {
		data = fmt.Sprintf("data_dir = %q\n", filepath.Join(c.folder, name))
	}
	if c.advice != "" {
		data += fmt.Sprintf("hint = %q\n", c.advice)
	}
	text := fmt.Sprintf("node = %q\nrole = %q\nzone = \"z%d\"\nregion = \"r\"\nip = %q\nport_range = [%d,%d]\nseeds = [%s]\nbootstrap = true\n%sheartbeat_ms = 1500\n"+
		"orders = \"invocation\"\nconfig_mode = \"highest\"\n[listen]\n%s\n[limits]\nmemory_mb = 280\n[tolerate]\nmachines = 1\nzones = 1\n"+
		"[bounds]\nseed_lag_s = 3\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nconfig_ms = 2000\nevacuate_ms = 5000\n"+
		"max_hold_ms = 6000\nstop_grace_ms = 400\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n"+
		"remote_factor = 2\ncheckpoint_interval_s = 1\nrestore_ms = 250\nnotice_ms = 4500\nmove_s = 1.5\nmaintenance_s = 2\nrequire_fence = true\nlease_ms = 3000\n"+
		"pace_ms = 100\nharm_ms = 4000\n[cloud_api]\naddress = %q\nrate_per_s = 60.0\nduty_per_s = 60.0\n",
		name, role, n, ip, peerPort, peerPort+15, strings.Join(seeds, ","), data, listen, c.hosts)
	path := filepath.Join(c.folder, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.record.fail("settings of " + name + ": " + err.Error())
	}
	return &process{name: name, role: role, settings: path}
}

// run starts a process, whose log is kept in the folder of the cluster.
func (c *cluster) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(c.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(c.program, p.role, "--metrics-port", "9100")
	p.command.Env = append(os.Environ(), "GALENAMOOR_NODE_FILE="+p.settings, "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func() { _ = p.command.Wait(); close(p.ended) }()
	c.record.add("system", "start", p.name, fmt.Sprintf("pid %d", p.command.Process.Pid))
	return nil
}

// signal sends a signal to a process.
func (c *cluster) signal(p *process, s syscall.Signal) {
	c.record.add("disruption", "signal", p.name, s.String())
	_ = p.command.Process.Signal(s)
}

// hasEnded reports whether a process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// stop ends all processes and removes their folder, unless KEEP is set.
func (c *cluster) stop() {
	for _, p := range c.members {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("logs in", c.folder)
	}
}

// leader returns the controller whose log shows that it leads, or nil.
func (c *cluster) leader() *process {
	var found *process
	newest := time.Time{}
	for _, p := range c.members[:controllers] {
		text, err := os.ReadFile(filepath.Join(c.folder, p.name+".log"))
		if err != nil {
			continue
		}
		leading, at := false, time.Time{}
		for line := range bytes.Lines(text) {
			entry := struct {
				Time    time.Time
				Message string
			}{}
			if json.Unmarshal(line, &entry) != nil {
				continue
			}
			switch entry.Message {
			case "leading":
				leading, at = true, entry.Time
			case "stopped leading", "controller started":
				leading = false
			}
		}
		if leading && at.After(newest) {
			found, newest = p, at
		}
	}
	return found
}

// answer is the response to a request; its status is 0 if there was none.
type answer struct {
	status int
	body   []byte
}

// call sends one request on a connection of its own and waits for the response for a limited time.
func call(method, url, host string, body any, timeout time.Duration) answer {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return callOn(client, method, url, host, body, timeout)
}

// callOn sends one request on a connection of a client.
func callOn(client *http.Client, method, url, host string, body any, timeout time.Duration) answer {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return answer{}
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return answer{}
	}
	request.Header.Set("Content-Type", "application/json")
	if host != "" {
		request.Host = host
		request.Header.Set("Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, text}
}
