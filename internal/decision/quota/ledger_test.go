package quota

import (
	"testing"

	"galenamoor/pkg/resource"
)

func cores(n int64) resource.Vector { return resource.Vector{Processors: n * 1000} }

// TestBorrowing guards against teams that borrow more than the unused quota, and against borrowing that is reported wrongly.
func TestBorrowing(t *testing.T) {
	l := New()
	if l.Admit("anyone", cores(100)) != Owned {
		t.Error("a task is not admitted as Owned although there are no quotas")
	}
	l.SetQuota("a", cores(10), true)
	l.SetQuota("b", cores(10), false)
	for _, c := range []struct {
		team string
		size int64
		want Admission
	}{
		{"a", 10, Owned}, {"a", 5, Borrowed}, {"a", 6, Refused}, {"b", 5, Owned}, {"b", 6, Refused}, {"stranger", 1, Refused},
	} {
		got := l.Admit(c.team, cores(c.size))
		if got != c.want {
			t.Errorf("%s asks for %d cores: %d, want %d", c.team, c.size, got, c.want)
		}
		if got != Refused {
			l.Charge(c.team, cores(c.size))
		}
	}
	if !l.Borrows("a") || l.Borrows("b") || !l.AnyBorrows() {
		t.Error("expected team a to borrow and team b not to")
	}
	l.Release("a", cores(5))
	if l.AnyBorrows() {
		t.Error("a team within its quota counts as a borrower")
	}
}
