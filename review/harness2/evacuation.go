package main

import (
	"syscall"
	"time"
)

const (
	emptiedZone = "z1"
	freezeTime  = 5500 * time.Millisecond

	// retransmission is the time from the wake-up until the sender repeats what was not acknowledged: TCP doubles the time between
	// repetitions, and after 5 s without an answer the next one comes 6.2 s after the first.
	retransmission = 1200 * time.Millisecond

	contactTime   = 3 * time.Second // contact_ms
	evacuateBound = 5 * time.Second // evacuate_ms
	maxStretch    = 5 * time.Second // max_stretch_ms, for an unstable core
)

// playEvacuation lets the operator empty a zone, take it back and empty it again, while the machine of one controller stands still for a
// while. The operator sends the order that takes the zone back to that machine first, gets no answer within a second, and sends it to the next
// controller, which acknowledges it. The first copy is delivered when the machine wakes.
func playEvacuation(b *bench) {
	if !b.begin(12, 3, 32_000, 3) {
		return
	}
	leader := b.cluster.leader()
	frozen := 0
	for i, p := range b.cluster.members[:controllers] {
		if p != leader {
			frozen = i
		}
	}
	machine := b.cluster.members[frozen]
	path, err := newProxy(controlURL(frozen, "")[len("http://"):])
	if err != nil {
		b.fail(err.Error())
		return
	}
	b.operator.paths[frozen] = path
	stop := make(chan struct{})
	defer b.clients.group.Wait()
	defer close(stop)
	b.clients.group.Go(func() { b.clients.load(150*time.Millisecond, stop) })
	time.Sleep(2 * time.Second)
	if !b.operator.order(frozen, "POST", "/evacuation/"+emptiedZone, nil, 4*time.Second) {
		b.fail("the first evacuation was not acknowledged")
		return
	}
	time.Sleep(3 * time.Second)
	if b.trouble {
		b.cluster.signal(machine, syscall.SIGSTOP)
		path.hold()
	}
	wakesAt := time.After(freezeTime)
	time.Sleep(500 * time.Millisecond)
	if !b.operator.order(frozen, "DELETE", "/evacuation/"+emptiedZone, nil, 4*time.Second) {
		b.fail("taking the zone back was not acknowledged")
		return
	}
	time.Sleep(2 * time.Second)
	if !b.operator.order((frozen+1)%controllers, "POST", "/evacuation/"+emptiedZone, nil, 4*time.Second) {
		b.fail("the second evacuation was not acknowledged")
		return
	}
	acknowledged := time.Now()
	<-wakesAt
	if b.trouble {
		b.cluster.signal(machine, syscall.SIGCONT)
		time.Sleep(retransmission)
		path.release()
	}
	b.judge.evacuated(emptiedZone, later(acknowledged.Add(evacuateBound+maxStretch), time.Now().Add(contactTime)))
	time.Sleep(18 * time.Second)
	if b.judge.startsSince(time.Now().Add(-5*time.Second)) == 0 {
		b.fail("no task has started in the last 5 s")
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
