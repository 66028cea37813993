package engineclient

import (
	"net/http"
	"testing"

	"bergamotpin.example/bergamotpin/engineclient/clienttest"
)

// TestManySmallHeaderFieldsFitIntoMemory guards against servers that send a header of many small
// fields on all connections: each field takes far more memory than it has bytes.
func TestManySmallHeaderFieldsFitIntoMemory(t *testing.T) {
	clienttest.EndlessHeader{
		Connections: 360, Fields: 8192, MaxBytes: 96 << 20,
		Client: func(dial clienttest.DialFunc) func(int) {
			client := NewClient(dial)
			return func(int) {
				if resp, err := client.Do(t.Context(), Request{Method: http.MethodGet, Address: "127.0.0.1:1", Path: "/"}); err == nil {
					_ = resp.Body.Close()
				}
			}
		},
	}.Check(t)
}
