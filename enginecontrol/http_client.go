package enginecontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/engineapi"
)

// maxStateBytes is the greatest number of bytes read from an engine's response.
const maxStateBytes = 1 << 20

// ErrStaleFencingToken means that the engine refused an order because it had
// accepted an order with a higher fencing token before.
var ErrStaleFencingToken = errors.New("enginecontrol: the engine refused an old fencing token")

// HTTPClient calls engines over HTTP. It is safe for concurrent use.
type HTTPClient struct {
	Client *http.Client
}

// State returns an engine's state.
func (c *HTTPClient) State(ctx context.Context, address string) (engineapi.OrderState, error) {
	return c.call(ctx, http.MethodGet, address, nil)
}

// Order sends an order and returns the engine's state after it. After an error
// other than ErrStaleFencingToken the engine may have carried out the order.
func (c *HTTPClient) Order(ctx context.Context, address string, o engineapi.Order) (engineapi.OrderState, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return engineapi.OrderState{}, errors.Wrap(err, "encode the order")
	}
	return c.call(ctx, http.MethodPost, address, body)
}

func (c *HTTPClient) call(ctx context.Context, method, address string, body []byte) (engineapi.OrderState, error) {
	var state engineapi.OrderState
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+engineapi.PathOrders, bytes.NewReader(body))
	if err != nil {
		return state, errors.Wrap(err, "orders")
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return state, errors.Wrap(err, "orders")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return state, ErrStaleFencingToken
	default:
		return state, errors.Errorf("enginecontrol: the engine returned status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return state, errors.Wrap(err, "orders")
	}
	if err := json.Unmarshal(raw, &state); err != nil {
		return state, errors.Wrap(err, "orders")
	}
	return state, nil
}
