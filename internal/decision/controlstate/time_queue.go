package controlstate

// timeQueue is a FIFO queue ordered by time. The recorded time never runs backwards, so appending keeps the order.
type timeQueue[T any] struct {
	items []timedItem[T]
	head  int
}

type timedItem[T any] struct {
	time  int64
	value T
}

func (q *timeQueue[T]) push(time int64, value T) {
	q.items = append(q.items, timedItem[T]{time, value})
}

// popBefore removes and returns the oldest item if its time is before the bound.
func (q *timeQueue[T]) popBefore(bound int64) (timedItem[T], bool) {
	if q.head == len(q.items) || q.items[q.head].time >= bound {
		return timedItem[T]{}, false
	}
	first := q.items[q.head]
	q.items[q.head] = timedItem[T]{}
	q.head++
	if q.head*2 >= len(q.items) {
		q.items = append(q.items[:0:0], q.items[q.head:]...)
		q.head = 0
	}
	return first, true
}

// oldest returns the time of the oldest item, and false if the queue is empty.
func (q *timeQueue[T]) oldest() (int64, bool) {
	if q.head == len(q.items) {
		return 0, false
	}
	return q.items[q.head].time, true
}
