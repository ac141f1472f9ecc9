package node

import (
	"expvar"
	"net/http"
	"net/http/pprof"
)

// registerDebug registers the handlers of metrics and profiles.
func registerDebug(mux *http.ServeMux, vars *expvar.Map) {
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(vars.String()))
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
