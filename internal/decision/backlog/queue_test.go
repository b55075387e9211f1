package backlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func scanNames(q *Queue, now time.Time) (names []string) {
	q.Scan(now, func(e *Entry) bool {
		names = append(names, e.Name)
		return true
	})
	return names
}

// TestOrderBySlack guards against ordering by deadline alone, against using declared run times once better ones are learned,
// and against late jobs that delay jobs that can still meet their deadlines.
func TestOrderBySlack(t *testing.T) {
	times := NewRunTimes(true)
	q := New(times)
	random := rand.New(rand.NewPCG(1, 1))
	put := func(name, kind string, deadline, declared time.Duration, urgent bool) *Entry {
		e := &Entry{Name: name, Kind: kind, Declared: declared, Remaining: 1, Waiting: 1, Processors: 1000, Urgent: urgent}
		if deadline > 0 {
			e.Deadline = start.Add(deadline)
		}
		q.Put(start, e, nil)
		return e
	}
	put("open", "short", 0, time.Minute, false)
	put("short", "short", 30*time.Minute, time.Minute, false)
	put("long", "long", 40*time.Minute, time.Minute, false)
	put("late", "short", time.Second, time.Minute, false)
	put("urgent", "short", 0, time.Minute, true)
	if got, want := scanNames(q, start), []string{"urgent", "short", "long", "late", "open"}; !slices.Equal(got, want) {
		t.Errorf("order by declared run times is %v, want %v", got, want)
	}
	for range 50 { // long jobs take 20 to 30 minutes, whatever they declare
		times.Record("long", time.Minute, 20*time.Minute+time.Duration(random.Int64N(int64(10*time.Minute))))
	}
	now := start.Add(resortInterval)
	if got, want := scanNames(q, now), []string{"urgent", "long", "short", "late", "open"}; !slices.Equal(got, want) {
		t.Errorf("order by learned run times is %v, want %v", got, want)
	}
}

// TestPredict guards against deadline misses that are not predicted or have the wrong reason.
func TestPredict(t *testing.T) {
	q := New(NewRunTimes(false))
	add := func(name string, deadline time.Duration, tasks int) {
		q.Put(start, &Entry{
			Name: name, Declared: 10 * time.Minute, Remaining: 1, Waiting: tasks, Processors: 1000, Deadline: start.Add(deadline),
		}, nil)
	}
	add("first", 20*time.Minute, 40)
	add("crowded", 30*time.Minute, 1) // 40 tasks of 10 minutes on 10 cores are ahead of it
	add("fine", 80*time.Minute, 1)
	add("too late", 8*time.Minute, 1)
	got := map[string]MissReason{}
	for _, miss := range q.Predict(start, 10_000) {
		got[miss.Job] = miss.Reason
	}
	if len(got) != 2 || got["crowded"] != QueueTooLong || got["too late"] != RunTimeTooLong {
		t.Errorf("predicted misses are %v", got)
	}
}

// TestMassCancellation guards against a cost of cancellation that grows linearly with the length of the queue. It counts
// comparisons.
func TestMassCancellation(t *testing.T) {
	cost := func(jobs int) float64 {
		q := New(NewRunTimes(false))
		comparisons := 0
		q.order = newOrder(func(a, b *Entry) bool { comparisons++; return precedes(a, b) })
		var entries []*Entry
		for i := range jobs {
			e := &Entry{Name: fmt.Sprint(i), Deadline: start.Add(time.Duration(i*7919%jobs) * time.Second), Remaining: 1}
			entries = append(entries, e)
			q.Put(start, e, nil)
		}
		comparisons = 0
		for _, e := range entries[:jobs/2] {
			q.Remove(e)
		}
		return float64(comparisons) / float64(jobs/2)
	}
	if small, large := cost(1000), cost(16_000); large > 2*small {
		t.Errorf("one cancellation takes %.0f comparisons among 16000 jobs and %.0f among 1000, expected at most twice as many", large, small)
	}
}
