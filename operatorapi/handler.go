package operatorapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/routing"
)

// Objects is the part of the platform's object API that the operators' API
// uses.
type Objects interface {
	Get(ctx context.Context, kind api.Kind, name string) (api.Object, error)
	List(ctx context.Context, kind api.Kind) (api.List, error)
	Create(ctx context.Context, obj api.Object) (api.Object, error)
	Update(ctx context.Context, obj api.Object) (api.Object, error)
	Delete(ctx context.Context, kind api.Kind, name string, version int64) error
	Watch(ctx context.Context, kinds []api.Kind, from int64, handle func(api.WatchEvent) error) error
}

// Options configures the operators' API. All fields except TokenHash are
// required.
type Options struct {
	Objects Objects
	Metrics http.Handler
	Ready   func() bool
	// Explain returns the recorded explanations of the scheduling decisions for a
	// request, or for all requests if request is "".
	Explain func(request string) []api.Explanation
	// TokenHash is the SHA-256 sum of the operators' token in hexadecimal. If
	// it is "", no token is required.
	TokenHash string
}

type server struct{ Options }

// NewHandler returns the HTTP handler of the operators' API.
func NewHandler(opts Options) http.Handler {
	s := server{opts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", opts.Metrics)
	mux.HandleFunc("GET /api/watch", s.requireToken(s.watch))
	mux.HandleFunc("GET /api/explain", s.requireToken(s.explain))
	mux.HandleFunc("GET /api/{kind}", s.requireToken(s.list))
	mux.HandleFunc("GET /api/{kind}/{name}", s.requireToken(s.get))
	mux.HandleFunc("PUT /api/{kind}/{name}", s.requireToken(s.put))
	mux.HandleFunc("DELETE /api/{kind}/{name}", s.requireToken(s.remove))
	return mux
}

func (s server) health(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") }

func (s server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

// requireToken calls next only for requests that carry the operators' token. If
// no token is configured, it calls next for all requests.
func (s server) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if s.TokenHash != "" && subtle.ConstantTimeCompare([]byte(routing.HashKey(token)), []byte(s.TokenHash)) != 1 {
			writeError(w, http.StatusUnauthorized, api.ErrorResponse{Code: "unauthorised", Message: "the operators' token is missing or wrong"})
			return
		}
		next(w, r)
	}
}

func (s server) explain(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.Explain(r.URL.Query().Get("request")))
}

func (s server) list(w http.ResponseWriter, r *http.Request) {
	kind, ok := pathKind(w, r)
	if !ok {
		return
	}
	list, err := s.Objects.List(r.Context(), kind)
	writeResult(w, list, err)
}

func (s server) get(w http.ResponseWriter, r *http.Request) {
	kind, ok := pathKind(w, r)
	if !ok {
		return
	}
	obj, err := s.Objects.Get(r.Context(), kind, r.PathValue("name"))
	writeResult(w, obj, err)
}

// put validates a resource and, unless dryRun is set, writes it.
func (s server) put(w http.ResponseWriter, r *http.Request) {
	obj, ok := readObject(w, r)
	if !ok {
		return
	}
	if err := api.Validate(obj); err != nil {
		writeError(w, http.StatusUnprocessableEntity, api.ErrorResponse{Code: api.CodeInvalid, Message: err.Error()})
		return
	}
	if r.URL.Query().Get("dryRun") == "true" {
		writeJSON(w, http.StatusOK, obj)
		return
	}
	written, err := s.write(r.Context(), obj)
	writeResult(w, written, err)
}

func (s server) remove(w http.ResponseWriter, r *http.Request) {
	kind, ok := pathKind(w, r)
	if !ok {
		return
	}
	version, ok := queryVersion(w, r, "version")
	if !ok {
		return
	}
	if err := s.delete(r.Context(), kind, r.PathValue("name"), version); err != nil {
		writeFailure(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// watch streams the platform's events to the operator as JSON, one per line.
func (s server) watch(w http.ResponseWriter, r *http.Request) {
	from, ok := queryVersion(w, r, "from")
	if !ok {
		return
	}
	responseController := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	eventSent := false
	err := s.Objects.Watch(r.Context(), api.ConfigKinds, from, func(e api.WatchEvent) error {
		eventSent = true
		if err := encoder.Encode(e); err != nil {
			return err
		}
		return responseController.Flush()
	})
	if !eventSent && err != nil && r.Context().Err() == nil {
		writeFailure(w, err)
	}
}

// readObject reads a resource from a request. If the request is invalid, it
// responds with an error and returns false.
func readObject(w http.ResponseWriter, r *http.Request) (api.Object, bool) {
	kind, ok := pathKind(w, r)
	if !ok {
		return api.Object{}, false
	}
	version, ok := queryVersion(w, r, "version")
	if !ok {
		return api.Object{}, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxObjectBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, api.ErrorResponse{Code: api.CodeInvalid, Message: "the spec can't be read: " + err.Error()})
		return api.Object{}, false
	}
	return api.Object{Kind: kind, Name: r.PathValue("name"), Version: version, Spec: body}, true
}

// pathKind returns the kind in the request's path. If that is no kind of
// configuration resource, it responds with an error and returns false.
func pathKind(w http.ResponseWriter, r *http.Request) (api.Kind, bool) {
	kind := api.Kind(r.PathValue("kind"))
	if slices.Contains(api.ConfigKinds, kind) {
		return kind, true
	}
	writeError(w, http.StatusNotFound, api.ErrorResponse{Code: api.CodeNotFound, Message: "no such kind: " + string(kind)})
	return "", false
}

// queryVersion returns the version in the query parameter with the given name,
// or 0 if the request has no such parameter. If the value is not a version, it
// responds with an error and returns false.
func queryVersion(w http.ResponseWriter, r *http.Request, name string) (int64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		writeError(w, http.StatusBadRequest, api.ErrorResponse{Code: api.CodeInvalid, Message: name + " is not a version"})
		return 0, false
	}
	return version, true
}
