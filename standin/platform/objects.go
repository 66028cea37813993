package platform

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/standin/jsonhttp"
)

// currentRevision returns the version of the last write.
func (s *store) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// requestKey returns the kind and name in the path of a call.
func requestKey(r *http.Request) objectKey {
	return objectKey{api.Kind(r.PathValue("kind")), r.PathValue("name")}
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	kind := api.Kind(r.PathValue("kind"))
	jsonhttp.WriteJSON(w, http.StatusOK, s.store.list(kind, s.Faults().StaleReads.Std()))
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	obj, err := s.store.get(requestKey(r), s.Faults().StaleReads.Std())
	if err != nil {
		writeStoreError(w, obj, err)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, obj)
}

func (s *Server) handleCreate(w http.ResponseWriter, r *http.Request) {
	obj, ok := readObject(w, r)
	if !ok {
		return
	}
	stored, err := s.store.create(obj)
	if err != nil {
		writeStoreError(w, stored, err)
		return
	}
	s.sendConfirmation(w, http.StatusCreated, stored)
}

func (s *Server) handleUpdate(w http.ResponseWriter, r *http.Request) {
	version, ok := readVersion(w, r)
	if !ok {
		return
	}
	obj, ok := readObject(w, r)
	if !ok {
		return
	}
	stored, err := s.store.update(obj, version)
	if err != nil {
		writeStoreError(w, stored, err)
		return
	}
	s.sendConfirmation(w, http.StatusOK, stored)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	version, ok := readVersion(w, r)
	if !ok {
		return
	}
	deleted, err := s.store.remove(requestKey(r), version)
	if err != nil {
		writeStoreError(w, deleted, err)
		return
	}
	s.sendConfirmation(w, http.StatusOK, deleted)
}

// readVersion parses the expected version from the query. If the version is
// missing or malformed, readVersion writes an error response and returns false.
func readVersion(w http.ResponseWriter, r *http.Request) (int64, bool) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, api.CodeInvalid, "version: a number is needed")
		return 0, false
	}
	return version, true
}

// readObject decodes the object in the request body. A kind or name in the body
// must match the path. If the body is invalid, readObject writes an error
// response and returns false. If the body can't be read, readObject returns
// false without a response.
func readObject(w http.ResponseWriter, r *http.Request) (api.Object, bool) {
	body, err := jsonhttp.ReadBody(r, api.MaxObjectBytes)
	if errors.Is(err, jsonhttp.ErrTooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, api.CodeInvalid, "object over its bound")
		return api.Object{}, false
	}
	if err != nil {
		return api.Object{}, false
	}
	var obj api.Object
	if err := json.Unmarshal(body, &obj); err != nil {
		writeError(w, http.StatusBadRequest, api.CodeInvalid, err.Error())
		return api.Object{}, false
	}
	key := requestKey(r)
	if obj.Kind == "" {
		obj.Kind = key.kind
	}
	if obj.Name == "" {
		obj.Name = key.name
	}
	if obj.Kind != key.kind || obj.Name != key.name {
		writeError(w, http.StatusBadRequest, api.CodeInvalid, "kind or name differs from the path")
		return api.Object{}, false
	}
	return obj, true
}

// writeStoreError writes the response for an error of the store. The response
// to a conflict contains the current object.
func writeStoreError(w http.ResponseWriter, current api.Object, err error) {
	switch {
	case errors.Is(err, errConflict):
		jsonhttp.WriteJSON(w, http.StatusConflict, api.ErrorResponse{Code: api.CodeConflict, Message: err.Error(), Current: &current})
	case errors.Is(err, errCompacted):
		writeError(w, http.StatusGone, api.CodeCompacted, err.Error())
	default:
		writeError(w, http.StatusNotFound, api.CodeNotFound, err.Error())
	}
}
