package chaos

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// silent is a transport that answers nothing.
type silent struct{}

func (silent) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func TestOverdueCountsThoseWhoWaitedLong(t *testing.T) {
	tests := map[time.Duration]int64{
		RecoveryTimeout - time.Second: 0,
		RecoveryTimeout:               1,
	}
	for after, want := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), after)
			defer cancel()
			o := &overdue{next: silent{}}
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1/", nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := o.RoundTrip(r); err == nil {
				t.Error("answered")
			}
			if got := o.count.Load(); got != want {
				t.Errorf("given up after %v: counted %d, want %d", after, got, want)
			}
		})
	}
}
