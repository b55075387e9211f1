package dispatch

import (
	"time"

	"galenamoor/pkg/resource"
)

// idleWindow is the time for which processors must have been free to count as idle. Finite tasks take turns in a piece of free room, with
// short pauses between them.
const idleWindow = time.Second

// idleProcessors tracks the least free processors of a worker, in milli-cores, over the last one to two windows.
type idleProcessors struct {
	began             time.Time // of the current window; zero before the first one
	current, previous int64
}

// advance begins a window when it is due, with what is free now.
func (i *idleProcessors) advance(now time.Time, free int64) {
	if now.Sub(i.began) >= idleWindow {
		i.began, i.previous, i.current = now, min(i.current, free), free
		return
	}
	i.observe(free)
}

// observe notes the free processors after a task was assigned.
func (i *idleProcessors) observe(free int64) {
	i.current = min(i.current, free)
}

// atMost returns what is free of a worker, less the processors that aren't idle.
func (i *idleProcessors) atMost(free resource.Vector) resource.Vector {
	free.Processors = min(free.Processors, i.current, i.previous)
	return free
}
