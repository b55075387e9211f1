package intake

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/gravitational/trace"
)

// memory is a Budget of a fixed number of bytes.
type memory struct{ free int64 }

func (m *memory) Reserve(_, bytes int64) error {
	if bytes > m.free {
		return trace.LimitExceeded("no memory")
	}
	m.free -= bytes
	return nil
}

func (m *memory) Release(bytes int64) { m.free += bytes }

// untouchable fails the test if it is read.
type untouchable struct{ t *testing.T }

func (u untouchable) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, errors.New("read")
}

// failing is a body that ends with an error.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// TestBodies guards against bodies that are read although they can't be handled, bodies of the largest size that are refused, answers whose
// status promises too much, and memory that is never released.
func TestBodies(t *testing.T) {
	const limit = 100_000
	exact := strings.Repeat("x", limit)
	for _, test := range []struct {
		name      string
		body      io.Reader
		announced int64 // -1 without a length
		free      int64
		status    int
		refused   string
	}{
		{"announced, of the largest size", strings.NewReader(exact), limit, copies * limit, http.StatusOK, ""},
		{"unannounced, of the largest size", strings.NewReader(exact), -1, copies * (limit + 1), http.StatusOK, ""},
		{"announced, too large", untouchable{t}, limit + 1, 1 << 30, http.StatusRequestEntityTooLarge, refusedTooLarge},
		{"unannounced, without end", io.MultiReader(strings.NewReader(exact), strings.NewReader("xx"), untouchable{t}), -1, 1 << 30, http.StatusRequestEntityTooLarge, refusedTooLarge},
		{"no memory", untouchable{t}, limit, 0, http.StatusServiceUnavailable, refusedMemory},
		{"memory for a part", strings.NewReader(exact), limit, copies * limit / 2, http.StatusServiceUnavailable, refusedMemory},
		{"too slow", failing{os.ErrDeadlineExceeded}, limit, 1 << 30, http.StatusRequestTimeout, refusedSlow},
		{"shorter than announced", strings.NewReader("x"), limit, 1 << 30, http.StatusBadRequest, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget, refused, handled := &memory{free: test.free}, "", 0
			handler := New(Options{
				Budget: budget, MaxBody: func(*http.Request) int64 { return limit }, Refused: func(reason string) { refused = reason },
			}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				text, err := io.ReadAll(r.Body)
				handled = len(text)
				if err != nil || len(r.Body.(interface{ Bytes() []byte }).Bytes()) != handled {
					t.Errorf("the handler read %d bytes, error %v", handled, err)
				}
			}))
			request := httptest.NewRequest(http.MethodPost, "/", test.body)
			request.ContentLength = test.announced
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			isServed := test.status == http.StatusOK
			if recorder.Code != test.status || refused != test.refused || isServed != (handled == limit) {
				t.Errorf("got %d and reason %q after %d bytes, want %d and %q", recorder.Code, refused, handled, test.status, test.refused)
			}
			if retry := recorder.Header().Get("Retry-After"); (retry != "") != (test.status == http.StatusServiceUnavailable) {
				t.Errorf("got Retry-After %q", retry)
			}
			if isClosed := recorder.Header().Get("Connection") == "close"; isClosed == isServed {
				t.Errorf("connection closed: %v", isClosed)
			}
			if budget.free != test.free {
				t.Errorf("%d bytes aren't released", test.free-budget.free)
			}
		})
	}
}
