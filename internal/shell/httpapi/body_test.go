package httpapi

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestSlowBody guards against a client that holds a connection by never completing its request body, and against a body
// timeout that cancels a long poll whose body was read in time.
func TestSlowBody(t *testing.T) {
	const timeout = 100 * time.Millisecond
	read := make(chan error, 2)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		read <- err
		if err != nil {
			return
		}
		select { // a long poll that outlasts the body timeout
		case <-r.Context().Done():
		case <-time.After(5 * timeout):
			w.WriteHeader(http.StatusNoContent)
		}
	})
	server := httptest.NewServer(limitBody(handler, timeout))
	defer server.Close()

	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := connection.Write([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err == nil {
		t.Error("an unfinished body was read without an error")
	}

	response, err := http.Post(server.URL, "application/json", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	<-read
	response, err = http.Post(server.URL, "text/plain", &slowReader{remaining: 3})
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if err := <-read; err != nil || response.StatusCode != http.StatusNoContent {
		t.Errorf("a long poll ended with %d, body: %v", response.StatusCode, err)
	}
}

// slowReader returns one byte at a time, so that the body is sent in chunks.
type slowReader struct{ remaining int }

func (s *slowReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	s.remaining--
	p[0] = 'a'
	return 1, nil
}
