package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// pauseAfterFailure is the pause of a client that got no answer.
const pauseAfterFailure = 200 * time.Millisecond

// hostileClients is the number of clients that send at the same time.
const hostileClients = 6

// fill returns a body of nearly maxBodyBytes that repeats an element between a beginning and an end.
func fill(beginning, element, end string) []byte {
	count := (maxBodyBytes - len(beginning) - len(end)) / (len(element) + 1)
	return []byte(beginning + strings.Repeat(element+",", count-1) + element + end)
}

// press has clients submit jobs with a body, each at an entry of its own choice, until stop is closed or each has sent its share.
func press(c *cluster, callers *client, clients, share int, body []byte, stop <-chan struct{}) {
	var group sync.WaitGroup
	for n := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for sent := range share {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%016x", 0xb000000+n*100_000+sent)
				status, answer := callers.send("POST", callers.entry(n), prefix+id, body)
				c.record.add("hostile client %d: POST %s%s, %d bytes -> %s", n+1, prefix, id, len(body), describe(status, answer))
				if status == 0 {
					time.Sleep(pauseAfterFailure)
				}
			}
		}()
	}
	group.Wait()
}

// dependencies has clients submit valid jobs whose second step lists the first one very often in after. All are accepted.
func dependencies(c *cluster, trouble bool) ([]string, error) {
	callers := newClient(c)
	body := fill(`{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10},{"count":1,"cpu":100,"mem_mb":10,"after":[`, "0", `]}]}`)
	const share = 100
	accepted, err := besideOrdinary(c, callers, func(stop <-chan struct{}) {
		if trouble {
			press(c, callers, hostileClients, share, body, stop)
		}
	})
	if err != nil {
		return nil, err
	}
	return judgeCore(c, callers, accepted), nil
}

// judgeCore returns which of LOST and Fault the accepted jobs and the ends of controllers show.
func judgeCore(c *cluster, callers *client, accepted []string) []string {
	var broken []string
	if lost := callers.unanswered(accepted); len(lost) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d accepted ordinary jobs get no answer finish_s after the end of the traffic", len(lost)))
	}
	if often := endedOften(c.controllers); 2*len(often) >= len(c.controllers) {
		broken = append(broken, fmt.Sprintf("Fault: processes of half of the core ended three times for memory over their limit: %v", often))
	}
	return broken
}

// wrongSteps has clients submit jobs whose steps are numbers. All are rejected.
func wrongSteps(c *cluster, trouble bool) ([]string, error) {
	callers := newClient(c)
	body := fill(`{"spec":"x","steps":[`, "0", `]}`)
	const clients, share = 36, 1_000_000
	accepted, err := besideOrdinary(c, callers, func(stop <-chan struct{}) {
		if trouble {
			press(c, callers, clients, share, body, stop)
		}
	})
	if err != nil {
		return nil, err
	}
	var broken []string
	if lost := callers.unanswered(accepted); len(lost) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d accepted ordinary jobs get no answer finish_s after the end of the traffic", len(lost)))
	}
	if often := endedOften(c.entries); len(often) >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: processes of two or more machines ended three times for memory over their limit: %v", often))
	}
	return broken, nil
}
