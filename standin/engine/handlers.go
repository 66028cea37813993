package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// maxControlBytes is the largest body size of a request other than a completion.
const maxControlBytes = 64 << 10

// errorBody is the body of an error response in the OpenAI protocol.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// RunCount is the number of times that an attempt entered the batch.
type RunCount struct {
	Attempt string `json:"attempt"`
	Runs    int    `json:"runs"`
}

// refuse writes an error response for a request that was not started.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(engineapi.HeaderNotStarted, "true")
	writeError(w, status, message)
}

// writeError writes an error response without stating whether the request was
// started.
func writeError(w http.ResponseWriter, status int, message string) {
	jsonhttp.WriteJSON(w, status, errorBody{Error: errorDetail{Message: message, Type: http.StatusText(status)}})
}

// holdWhileFrozen returns a handler that delays each call while the engine is
// frozen.
func (e *Server) holdWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for {
			faults, faultsChanged := e.currentFaults()
			if !faults.Frozen {
				next(w, r)
				return
			}
			select {
			case <-faultsChanged:
			case <-r.Context().Done():
				return
			case <-e.ctx.Done():
				return
			}
		}
	}
}

func (e *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := jsonhttp.ReadBody(r, maxBodyBytes)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	j, err := parseJob(r.Header, body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	s, ok := e.accept(w, j)
	if !ok {
		return
	}
	c := &connection{engine: e, stream: s, w: w, r: r}
	if j.stream {
		c.streamFrames()
		return
	}
	c.respondWhole()
}

// accept adds a job to the queue. If the job can't be queued, accept writes an
// error response and returns false.
func (e *Server) accept(w http.ResponseWriter, j *job) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[j.attempt] != nil || e.attemptRuns[j.attempt] > 0 {
		e.counters.KnownAttempts++
		writeError(w, http.StatusConflict, "the attempt id is known")
		return nil, false
	}
	status, message := e.checkAdmission(j)
	if status != http.StatusOK {
		e.counters.Refused++
		w.Header().Set("Retry-After", "1")
		refuse(w, status, message)
		return nil, false
	}
	return e.enqueue(j), true
}

// checkAdmission returns status 200 if a job can be queued. Otherwise it returns
// the status and the message of the refusal. The caller holds the lock.
func (e *Server) checkAdmission(j *job) (int, string) {
	switch {
	case e.ctx.Err() != nil:
		return http.StatusServiceUnavailable, "closed"
	case e.draining:
		return http.StatusServiceUnavailable, "draining"
	case len(e.orders.state.Models) > 0 && !slices.Contains(e.orders.state.Models, j.model):
		return http.StatusNotFound, "the model is not loaded"
	case len(e.waiting) >= e.opts.MaxWaiting:
		return http.StatusServiceUnavailable, "the queue is full"
	}
	return http.StatusOK, ""
}

// handleResume sends the frames of a stream after the last frame that the caller
// has received.
func (e *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	lastReceived, ok := lastEventID(r)
	if !ok {
		writeError(w, http.StatusBadRequest, "Last-Event-ID: a number from 0 is needed")
		return
	}
	e.mu.Lock()
	s := e.streams[r.PathValue("attempt")]
	if s != nil {
		e.counters.Resumed++
	}
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	c := &connection{engine: e, stream: s, w: w, r: r, lastSent: lastReceived}
	c.streamFrames()
}

// handleCancel cancels a stream. The response has HeaderNotStarted if the
// stream had not started.
func (e *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("attempt")]
	if s == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	e.dropStream(s)
	if !s.started {
		w.Header().Set(engineapi.HeaderNotStarted, "true")
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	if e.Faults().NoReports {
		writeError(w, http.StatusServiceUnavailable, "no reports")
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, e.report())
}

// report returns the load at the time that lies ReportLag in the past. If no load
// was recorded by then, the report is empty.
func (e *Server) report() engineapi.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.opts.ReportLag)
	report, _, ok := e.loadHistory.At(at)
	if ok {
		report.SampledAt = at
	}
	return report
}

// handleCache sends the visible cache events from the number in the query on. It
// does not wait for further events.
func (e *Server) handleCache(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0
	}
	e.mu.Lock()
	events := e.cache.visibleEvents(time.Now(), from)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	for _, event := range events {
		if out.Encode(event) != nil {
			return
		}
	}
}

func (e *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	e.setDraining(true)
	jsonhttp.WriteJSON(w, http.StatusOK, e.Counters())
}

func (e *Server) handleCancelDrain(w http.ResponseWriter, _ *http.Request) {
	e.setDraining(false)
	jsonhttp.WriteJSON(w, http.StatusOK, e.Counters())
}

func (e *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Server) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, e.Faults())
}

func (e *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f engineapi.EngineFaults
	if err := jsonhttp.DecodeJSON(r, maxControlBytes, &f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.SetFaults(f)
	jsonhttp.WriteJSON(w, http.StatusOK, f)
}

func (e *Server) handleCounters(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, e.Counters())
}

func (e *Server) handleRuns(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("attempt")
	jsonhttp.WriteJSON(w, http.StatusOK, RunCount{Attempt: attempt, Runs: e.Runs(attempt)})
}
