package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/api"
)

// call sends one call to the server and decodes the response into out unless
// out is nil. It returns the HTTP status.
func call(t *testing.T, s *Server, method, path, body string, out any) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			t.Fatalf("%s %s: got error %v in decoding the response %q, want no error", method, path, err, w.Body)
		}
	}
	return w.Code
}

// newServer returns a stand-in platform that is closed after the test.
func newServer(t *testing.T, opts Options) *Server {
	t.Helper()
	s := New(opts)
	t.Cleanup(s.Close)
	return s
}

// TestStatusWriteKeepsSpecVersion checks that a write changes the spec version
// only if it changes the spec. A difference in white space is no change.
func TestStatusWriteKeepsSpecVersion(t *testing.T) {
	s := newServer(t, Options{})
	var first, second, third api.Object
	if code := call(t, s, "POST", "/objects/Route/a", `{"spec":{"x":1}}`, &first); code != http.StatusCreated {
		t.Fatalf("create: status %d, want 201", code)
	}
	if first.Version != 1 || first.SpecVersion != 1 || first.Kind != api.KindRoute || first.Name != "a" {
		t.Errorf("create: got %+v, want Route a with version 1 and spec version 1", first)
	}
	call(t, s, "PUT", "/objects/Route/a?version=1", `{"spec":{ "x": 1 },"status":{"s":1}}`, &second)
	if second.Version != 2 || second.SpecVersion != 1 {
		t.Errorf("write that changes only the status: got %+v, want version 2 and spec version 1", second)
	}
	call(t, s, "PUT", "/objects/Route/a?version=2", `{"spec":{"x":2}}`, &third)
	if third.Version != 3 || third.SpecVersion != 3 {
		t.Errorf("write that changes the spec: got %+v, want version 3 and spec version 3", third)
	}
}

// TestWriteOfOtherVersionIsConflict checks that a writer can't overwrite or delete
// a version of an object that it has not read.
func TestWriteOfOtherVersionIsConflict(t *testing.T) {
	s := newServer(t, Options{})
	call(t, s, "POST", "/objects/Lease/a", `{"spec":1}`, nil)
	for _, test := range []struct{ method, path string }{
		{"POST", "/objects/Lease/a"},
		{"PUT", "/objects/Lease/a?version=7"},
		{"DELETE", "/objects/Lease/a?version=7"},
	} {
		var got api.ErrorResponse
		code := call(t, s, test.method, test.path, `{"spec":2}`, &got)
		if code != http.StatusConflict || got.Code != api.CodeConflict || got.Current == nil || got.Current.Version != 1 {
			t.Errorf("%s %s: got status %d and error %+v, want 409 and the current object at version 1", test.method, test.path, code, got)
		}
	}
	if code := call(t, s, "PUT", "/objects/Lease/b?version=1", `{"spec":2}`, nil); code != http.StatusNotFound {
		t.Errorf("update of an object that does not exist: status %d, want 404", code)
	}
	if code := call(t, s, "DELETE", "/objects/Lease/a?version=1", "", nil); code != http.StatusOK {
		t.Errorf("delete: status %d, want 200", code)
	}
	if code := call(t, s, "GET", "/objects/Lease/a", "", nil); code != http.StatusNotFound {
		t.Errorf("get after the delete: status %d, want 404", code)
	}
}

func TestTooLargeObjectIsRefused(t *testing.T) {
	s := newServer(t, Options{})
	body := `{"spec":"` + strings.Repeat("x", api.MaxObjectBytes) + `"}`
	if code := call(t, s, "POST", "/objects/Route/a", body, nil); code != http.StatusRequestEntityTooLarge {
		t.Errorf("create of an object that is too large: status %d, want 413", code)
	}
}
