// Command harness2 starts the programs of the deploy file as separate processes on loopback addresses, beside stand-ins for executors,
// clients and the operator, and checks one rule of the users' pages while it plays a disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// bench is one run of a case.
type bench struct {
	*record
	cluster  *cluster
	fleet    *fleet
	judge    *judge
	clients  *clients
	operator *operator
	trouble  bool
	kinds    func(number int) string // label of the kind of an executor; nil for one kind
	config   map[string]any          // the first configuration; nil for one queue
}

// kindOf returns the label of the kind of an executor.
func (b *bench) kindOf(number int) string {
	if b.kinds == nil {
		return "a"
	}
	return b.kinds(number)
}

var cases = map[string]func(*bench){
	"evacuation": playEvacuation,
	"crashes":    playCrashes,
	"scheduled":  playScheduled,
	"shards":     playShards,
	"advice":     playAdvice,
	"seed":       playLostSeed,
	"overflow":   playOverflow,
	"pending":    playPending,
}

func main() {
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/galenamoor", "program of the deploy file")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Println("no such case:", *name)
		os.Exit(2)
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	absolute, err := filepath.Abs(*program)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	c, err := newCluster(r, absolute)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	j := newJudge(r)
	b := &bench{
		record: r, cluster: c, judge: j, fleet: &fleet{record: r, judge: j}, clients: &clients{record: r, judge: j}, operator: newOperator(r),
		trouble: os.Getenv("TROUBLE") != "0",
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		b.cluster.stop()
		os.Exit(2)
	}()
	play(b)
	b.fleet.stop()
	b.cluster.stop()
	os.Exit(r.status())
}

// begin starts the system and the executors, and sends the first configuration. It returns false if that fails.
func (b *bench) begin(executors, zones int, cpu int64, maxAttempts int) bool {
	if err := b.cluster.start(); err != nil {
		b.fail(err.Error())
		return false
	}
	time.Sleep(3 * time.Second)
	if b.config == nil {
		b.config = configuration(3, maxAttempts)
	}
	if !b.operator.order(0, "PUT", "/config", b.config, 20*time.Second) {
		b.fail("no controller has acknowledged the first configuration")
		return false
	}
	if !b.addExecutors(executors, zones, cpu) {
		return false
	}
	time.Sleep(4 * time.Second)
	return true
}

// addExecutors starts further executors. It returns false if that fails.
func (b *bench) addExecutors(count, zones int, cpu int64) bool {
	for range count {
		i := len(b.fleet.executors)
		e := &executor{
			fleet: b.fleet, number: i, machine: fmt.Sprintf("m-%d", i), zone: fmt.Sprintf("z%d", i%zones), rack: fmt.Sprintf("r%d-%d", i%zones, i%(2*zones)/zones),
			kind: b.kindOf(i), cpu: cpu, memory: 256_000,
		}
		b.fleet.mutex.Lock()
		b.fleet.executors = append(b.fleet.executors, e)
		b.fleet.mutex.Unlock()
		if err := e.start(false); err != nil {
			b.fail(err.Error())
			return false
		}
	}
	return true
}

func (f *fleet) stop() {
	for _, e := range f.executors {
		e.crash("end of the case")
	}
}
