package callerapi

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/policy"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/shell/claims"
	"github.com/vaneyoke/vaneyoke/shell/failover"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// Config holds the caller API's limits.
type Config struct {
	MaxBodyBytes int64         // largest request body
	MaxWait      time.Duration // longest wait for an upstream
	WriteTimeout time.Duration // longest time that a caller may take to read one write of its answer
}

// Directory provides the configuration, readiness, policy decisions and models of the node.
type Directory interface {
	// Current returns the newest configuration.
	Current() *catalog.Snapshot
	// Ready returns nil if the node accepts new requests.
	Ready() error
	// Decide returns the policies' decision for a request.
	Decide(now time.Time, q policy.Query) policy.Decision
	// DataCentre returns the node's data centre.
	DataCentre() vaneyoke.DataCentreID
	// Models returns the models that the engines offer.
	Models() []vaneyoke.ModelID
}

// API is the caller API.
type API struct {
	config    Config
	directory Directory
	relay     *relay.Relay
	failover  *failover.Manager
	claims    *claims.Claims
	tracer    trace.Tracer
	log       logrus.FieldLogger
	inFlight  atomic.Int64    // requests being answered
	stopBegun context.Context // done once Stop is called
	beginStop context.CancelFunc
}

// New returns an API; its Handler method returns the HTTP handler.
func New(config Config, directory Directory, r *relay.Relay, f *failover.Manager, c *claims.Claims, tracer trace.Tracer, log logrus.FieldLogger) *API {
	stopBegun, beginStop := context.WithCancel(context.Background())
	return &API{
		config: config, directory: directory, relay: r, failover: f, claims: c, tracer: tracer, log: log, stopBegun: stopBegun, beginStop: beginStop,
	}
}

// InFlight returns the number of requests being answered.
func (a *API) InFlight() int { return int(a.inFlight.Load()) }

// Handler returns the HTTP handler of all operations.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("vaneyoke", "1")
	config.CreateHooks = nil // no schema links in responses
	config.Components.SecuritySchemes = map[string]*huma.SecurityScheme{
		securityName: {Type: "http", Scheme: "bearer"},
	}
	api := humago.New(mux, config)
	a.registerGenerations(api)
	a.registerServices(api)
	a.registerModels(api)
	a.registerHealth(api)
	mux.HandleFunc("/", a.notFound)
	return a.countInFlight(a.refuseIncomplete(mux))
}

// countInFlight counts the requests being answered.
func (a *API) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.inFlight.Add(1)
		defer a.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (a *API) notFound(w http.ResponseWriter, r *http.Request) {
	WriteError(w, vaneyoke.Err(vaneyoke.CodeNotFound, "no such path: %s %s", r.Method, r.URL.Path))
}
