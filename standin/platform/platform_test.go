package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/api"
)

// call sends one call to the handler and decodes its answer into out.
func call(t *testing.T, s *Server, method, path, body string, out any) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if out != nil {
		if err := json.Unmarshal(w.Body.Bytes(), out); err != nil {
			t.Fatalf("%s %s: %v in %q", method, path, err, w.Body)
		}
	}
	return w.Code
}

func newServer(t *testing.T, opts Options) *Server {
	t.Helper()
	s := New(opts)
	t.Cleanup(s.Close)
	return s
}

func TestVersionsAndSpecVersions(t *testing.T) {
	s := newServer(t, Options{})
	var first, second, third api.Object
	if code := call(t, s, "POST", "/objects/Route/a", `{"spec":{"x":1}}`, &first); code != http.StatusCreated {
		t.Fatalf("create: %d", code)
	}
	if first.Version != 1 || first.SpecVersion != 1 || first.Kind != api.KindRoute || first.Name != "a" {
		t.Errorf("created %+v", first)
	}
	call(t, s, "PUT", "/objects/Route/a?version=1", `{"spec":{ "x": 1 },"status":{"s":1}}`, &second)
	if second.Version != 2 || second.SpecVersion != 1 {
		t.Errorf("a write of the status alone gave %+v", second)
	}
	call(t, s, "PUT", "/objects/Route/a?version=2", `{"spec":{"x":2}}`, &third)
	if third.Version != 3 || third.SpecVersion != 3 {
		t.Errorf("a write of the spec gave %+v", third)
	}
}

func TestConditionalWrites(t *testing.T) {
	s := newServer(t, Options{})
	call(t, s, "POST", "/objects/Lease/a", `{"spec":1}`, nil)
	for _, test := range []struct{ method, path string }{
		{"POST", "/objects/Lease/a"},
		{"PUT", "/objects/Lease/a?version=7"},
		{"DELETE", "/objects/Lease/a?version=7"},
	} {
		var got api.Error
		code := call(t, s, test.method, test.path, `{"spec":2}`, &got)
		if code != http.StatusConflict || got.Code != api.CodeConflict || got.Current == nil || got.Current.Version != 1 {
			t.Errorf("%s %s: %d %+v", test.method, test.path, code, got)
		}
	}
	if code := call(t, s, "PUT", "/objects/Lease/b?version=1", `{"spec":2}`, nil); code != http.StatusNotFound {
		t.Errorf("update of nothing: %d", code)
	}
	if code := call(t, s, "DELETE", "/objects/Lease/a?version=1", "", nil); code != http.StatusOK {
		t.Errorf("delete: %d", code)
	}
	if code := call(t, s, "GET", "/objects/Lease/a", "", nil); code != http.StatusNotFound {
		t.Errorf("get after delete: %d", code)
	}
}

func TestObjectBound(t *testing.T) {
	s := newServer(t, Options{})
	body := `{"spec":"` + strings.Repeat("x", api.MaxObjectBytes) + `"}`
	if code := call(t, s, "POST", "/objects/Route/a", body, nil); code != http.StatusRequestEntityTooLarge {
		t.Errorf("an object over the bound: %d", code)
	}
}
