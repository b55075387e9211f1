package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Times within which an order without an answer may be carried out late.
const (
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
)

// keepBusy hands in a job each 400 ms, with tasks of 3 to 9 cores and 5 s.
func (d *deployment) keepBusy(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		_ = d.submit("audit", newJobID(), step{Count: 3, CPU: 3000 + rand.IntN(6000), MemMB: 4096, EstimateMs: 5000, work: 5 * time.Second})
		if !d.sleep(400 * time.Millisecond) {
			return
		}
	}
}

// startWave requests the upkeep of machines until the request is acknowledged.
func (d *deployment) startWave(machines []string, maxCount int) error {
	for attempt := range 10 {
		status, _ := d.call(http.MethodPost, d.controlURL(attempt, "/wave-start"), map[string]any{
			"wave": 1, "machines": machines, "within_s": 40, "max_count": maxCount,
		})
		d.record.log("operator: wave of %v, max_count %d -> %d", machines, maxCount, status)
		if status == http.StatusOK {
			return nil
		}
		d.sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("the wave wasn't acknowledged")
}

// awaitWave asks for the state of the wave until it is completed or the time is over.
func (d *deployment) awaitWave(limit time.Duration) bool {
	attempt := 0
	for end := time.Now().Add(limit); time.Now().Before(end) && d.sleep(500*time.Millisecond); attempt++ {
		status, text := d.call(http.MethodGet, d.controlURL(attempt, "/wave-get/1"), nil)
		reply := struct{ State string }{}
		if status == http.StatusOK && json.Unmarshal(text, &reply) == nil && reply.State == "completed" {
			d.record.log("operator: the wave is completed")
			return true
		}
	}
	return false
}

// carryOutLate carries an order that got no answer out, minLate after it was sent and as soon as another machine of the wave
// is down, but after maxLate at the latest. The platform checks the fencing token then.
func (d *deployment) carryOutLate(o *upkeepOrder) {
	if !d.sleep(time.Until(o.sentAt.Add(minLate))) {
		return
	}
	for d.sleep(20 * time.Millisecond) {
		d.mutex.Lock()
		isDue := time.Since(o.sentAt) >= maxLate || len(d.platform.downMachines(o.Machine)) > 0
		if isDue {
			d.record.log("DISRUPTION the order for %s is carried out %.1f s late", o.Machine, time.Since(o.sentAt).Seconds())
			d.platform.carryOut(o)
		}
		d.mutex.Unlock()
		if isDue {
			return
		}
	}
}

// killHolder kills the controller of a name, and starts it again after a second.
func (d *deployment) killHolder(name string) {
	for _, p := range d.daemons {
		if p.name != name {
			continue
		}
		d.record.log("DISRUPTION controller %s is killed", name)
		d.kill(p)
		d.sleep(time.Second)
		if err := d.startDaemon(p); err != nil {
			d.record.log("controller %s can't restart: %v", name, err)
		}
	}
}
