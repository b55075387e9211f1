package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"galenamoor/api/gen/endpoints"
	"galenamoor/api/gen/operators"
	"galenamoor/api/gen/workers"
)

// maxBodyBytes bounds a request body in bytes. It holds an inventory and rules of 4 MiB each, escaped as JSON.
const maxBodyBytes = 10 << 20

// bodyTimeout bounds the time to read a request body, so that slow clients do not hold connections.
const bodyTimeout = 10 * time.Second

// limitBody limits the size of request bodies and the time to read them.
func limitBody(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		controller := http.NewResponseController(w)
		if r.ContentLength != 0 && controller.SetReadDeadline(time.Now().Add(timeout)) == nil {
			r.Body = &timedBody{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody clears the read deadline at the end of the body. If the deadline expired during a long poll, the server would
// treat the connection as closed and cancel the request.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// decoder decodes one JSON value and rejects unknown fields and trailing data, so that a misspelt field is not treated as
// an absent one.
type decoder struct {
	body io.Reader
}

func strictDecoder(r *http.Request) goahttp.Decoder {
	return decoder{body: r.Body}
}

func (d decoder) Decode(v any) error {
	reader := json.NewDecoder(d.body)
	reader.DisallowUnknownFields()
	if err := reader.Decode(v); err != nil {
		return err
	}
	if _, err := reader.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

// problem is the body of every error response. It has the fields of Problem in the API design; goa passes all errors to
// formatProblem.
type problem struct {
	Name    string
	Message string
	Version *uint64 `json:",omitempty"`
}

// StatusCode implements goahttp.Statuser. It is not used for errors declared in the API design, which define their status
// there.
func (p problem) StatusCode() int {
	if p.Name == "Invalid" {
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

func formatProblem(_ context.Context, err error) goahttp.Statuser {
	var operator *operators.Problem
	var worker *workers.Problem
	var endpoint *endpoints.Problem
	var service *goa.ServiceError
	switch {
	case errors.As(err, &operator):
		return problem(*operator)
	case errors.As(err, &worker):
		return problem(*worker)
	case errors.As(err, &endpoint):
		return problem(*endpoint)
	case errors.As(err, &service) && !service.Fault:
		return problem{Name: "Invalid", Message: service.Message}
	}
	return problem{Name: "Internal", Message: err.Error()}
}
