package objects

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotpin.example/bergamotpin/api"
)

// oddObjects are objects of another writer, as they stand in a list or an event.
func oddObjects() []string {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	return []string{
		"7", "null", "{}", deep, `{"kind":"Route","name":"odd","version":1e400}`, `{"kind":7,"name":"odd"}`,
		`{"kind":"Route","name":"odd","version":2,"spec":` + deep + `}`,
		`{"kind":"Route","name":"odd","version":2,"status":` + deep + `}`,
	}
}

// TestOddObjectCostsOnlyItself guards against one object of another writer for which a list
// can't be read, or a watch ends again and again at the same event.
func TestOddObjectCostsOnlyItself(t *testing.T) {
	for _, odd := range oddObjects() {
		sound := func(name string) string {
			return fmt.Sprintf(`{"kind":"Route","name":%q,"version":3,"spec":{"a":1}}`, name)
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == api.PathWatch {
				for _, object := range []string{sound("a"), odd, sound("b")} {
					_, _ = fmt.Fprintf(w, "{\"type\":\"put\",\"object\":%s}\n", object)
				}
				return
			}
			_, _ = fmt.Fprintf(w, `{"version":9,"items":[%s,%s,%s]}`, sound("a"), odd, sound("b"))
		}))
		client := New(Options{BaseURL: server.URL})
		list, err := client.List(context.Background(), "Route")
		if err != nil || list.Version != 9 || !holdsSound(list.Items) {
			t.Errorf("the list with %.60s: got %d objects, error %v; want a and b", odd, len(list.Items), err)
		}
		var watched []api.Object
		err = client.Watch(context.Background(), []api.Kind{"Route"}, 1, func(e api.WatchEvent) error {
			watched = append(watched, e.Object)
			return nil
		})
		if err != nil || !holdsSound(watched) {
			t.Errorf("the watch with %.60s: got %d objects, error %v; want a and b", odd, len(watched), err)
		}
		server.Close()
	}
}

// holdsSound reports whether the sound objects are there with their specs.
func holdsSound(objects []api.Object) bool {
	found := 0
	for _, o := range objects {
		if (o.Name == "a" || o.Name == "b") && string(o.Spec) == `{"a":1}` {
			found++
		}
	}
	return found == 2
}
