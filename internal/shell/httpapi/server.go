// Package httpapi serves the HTTP APIs for operators, workers and endpoints, and health checks and metrics. It only
// translates between the types of the APIs and the control messages; the leader makes all decisions.
package httpapi

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	goahttp "goa.design/goa/v3/http"

	"galenamoor/api/gen/endpoints"
	endpointserver "galenamoor/api/gen/http/endpoints/server"
	operatorserver "galenamoor/api/gen/http/operators/server"
	workerserver "galenamoor/api/gen/http/workers/server"
	"galenamoor/api/gen/operators"
	"galenamoor/api/gen/workers"
	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/burn"
	"galenamoor/internal/decision/controlstate"
)

// Control decides requests locally when this daemon is the leader, and otherwise forwards them to the leader.
type Control interface {
	// Submit always returns a reply; its result code is an error code when the request was rejected or not decided.
	Submit(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply
	// View returns an immutable snapshot of the control state applied at this daemon.
	View() *controlstate.View
	// Status returns the status of this daemon.
	Status() DaemonStatus
}

// Reporter builds the service-level report of the whole cluster.
type Reporter interface {
	Report(ctx context.Context) *burn.Report
}

// DaemonStatus is the status of a daemon at one time.
type DaemonStatus struct {
	Host   string
	Ready  bool
	Reason string // why it is not ready; empty when it is
	Index  uint64 // last log index applied
	Term   uint64
	Leader string        // host of the leader; empty when none is known
	Age    time.Duration // since the view was last confirmed as current
}

// Server provides the handlers of the control address.
type Server struct {
	control  Control
	reporter Reporter
	clock    clockwork.Clock
}

// New returns a Server that answers requests from control and reporter.
func New(control Control, reporter Reporter, clock clockwork.Clock) *Server {
	return &Server{control: control, reporter: reporter, clock: clock}
}

// Handler returns the HTTP handler of the control address.
func (s *Server) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	onEncodeError := func(_ context.Context, w http.ResponseWriter, _ error) {
		w.WriteHeader(http.StatusInternalServerError)
	}
	operatorserver.New(operators.NewEndpoints(s.operators()), mux, strictDecoder, goahttp.ResponseEncoder, onEncodeError, formatProblem).Mount(mux)
	workerserver.New(workers.NewEndpoints(s.workers()), mux, strictDecoder, goahttp.ResponseEncoder, onEncodeError, formatProblem).Mount(mux)
	endpointserver.New(endpoints.NewEndpoints(s.endpoints()), mux, strictDecoder, goahttp.ResponseEncoder, onEncodeError, formatProblem).Mount(mux)

	root := http.NewServeMux()
	root.Handle("/v1/", mux)
	root.HandleFunc("GET /health/live", s.live)
	root.HandleFunc("GET /health/ready", s.ready)
	root.Handle("GET /metrics", expvar.Handler())
	return limitBody(root, bodyTimeout)
}

func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	status := s.control.Status()
	if status.Ready {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, status.Reason, http.StatusServiceUnavailable)
}

func (s *Server) operators() operators.Service {
	return &operatorService{control: s.control, reporter: s.reporter, clock: s.clock}
}

func (s *Server) workers() workers.Service {
	return &workerService{control: s.control}
}

func (s *Server) endpoints() endpoints.Service {
	return &endpointService{control: s.control}
}
