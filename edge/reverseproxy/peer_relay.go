package reverseproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/edge/backendclient"
	"bergamotpin.example/bergamotpin/edge/gossip"
	"bergamotpin.example/bergamotpin/edge/reachability"
	"bergamotpin.example/bergamotpin/outcome"
	"bergamotpin.example/bergamotpin/platform"
)

const (
	// maxRelayTries is how many instances are tried until one accepts a connection.
	maxRelayTries = 3
	// maxRelayConnections bounds the connections to one other instance.
	maxRelayConnections = 256
	// relayGrace is how much longer than the request's own time the other instance's final
	// response is awaited. It ends the request itself.
	relayGrace = 100 * time.Millisecond
	// peerServer stands in logs for the server that another instance chose.
	peerServer = "peer"
)

// PeerRelay hands requests on to other instances while this one reaches no server. All fields
// are required.
type PeerRelay struct {
	Reach *reachability.Monitor
	// Relays returns the instances to which requests can be handed on, the best ones first.
	Relays func() []gossip.Relay
	// Client holds the connections to other instances.
	Client *backendclient.Client
}

// relayAtOnce hands the request on if this instance is known to reach no server. It returns
// false if the request must be served here.
func (f *forwarder) relayAtOnce() bool {
	return !f.request.relayed && f.handler.PeerRelay.Reach.CutOff() && f.relay()
}

// relayAfter hands the request on after a failed attempt, if no server can have got it and this
// instance turns out to reach none.
func (f *forwarder) relayAfter(ctx context.Context, failed failure) bool {
	req := f.request
	if req.relayed || failed.mayHaveRun || len(req.possibleRuns) > 0 || f.stream.started || failed.reason != outcome.ServerUnreachable {
		return false
	}
	return f.handler.PeerRelay.Reach.Verdict(ctx) && f.relay()
}

// relay hands the request on to another instance, and passes its response on. That instance
// checks and guards the request like any other one, so that its refusals hold here too. Once it
// may have got the request, nobody else gets it. relay returns false if no instance accepts a
// connection.
func (f *forwarder) relay() bool {
	relays := f.handler.PeerRelay.Relays()
	ctx, cancel := context.WithDeadline(f.callerCtx, f.request.deadline.Add(relayGrace))
	defer cancel()
	for _, to := range relays[:min(len(relays), maxRelayTries)] {
		response, err := f.sendToPeer(ctx, to)
		if err != nil {
			failed := sendFailure(err)
			f.logRelayFailed(to, failed)
			if !failed.mayHaveRun {
				continue
			}
			f.relayBroke(failed)
			return true
		}
		defer response.Close()
		if failed, ok := f.passOn(response); !ok {
			f.logRelayFailed(to, failed)
			f.relayBroke(failed)
			return true
		}
		f.logRelayed(to, response.StatusCode)
		return true
	}
	return false
}

func (f *forwarder) sendToPeer(ctx context.Context, to gossip.Relay) (*backendclient.Response, error) {
	req := f.request
	header := platform.RelayedRequestHeader(req.callerHeader)
	header.Set(platform.HeaderDeadline, platform.FormatDeadline(time.Until(req.deadline)))
	deadline := req.deadline.Add(relayGrace)
	server := backendclient.Server{Key: to.Name, Address: to.Callers, MaxConnections: maxRelayConnections}
	return f.handler.PeerRelay.Client.Send(ctx, server, backendclient.Request{
		Method: req.method, Path: req.target, Host: req.host, Header: header, Body: req.body.parts,
		IDHeader: platform.HeaderRequestID, ID: req.id,
		AtMostOnce: !req.route.MayRetry(), Deadline: deadline, HeaderDeadline: deadline,
	})
}

// passOn passes another instance's response on. It returns false if the response was not
// complete or not a backend server's. Only the response tells whether it is a stream: the other instance may
// know another configuration. It states the length of all that is none.
func (f *forwarder) passOn(response *backendclient.Response) (failure, bool) {
	if response.StatusCode/100 == 2 && !isFromBackendServer(response.Header) {
		return failure{reason: outcome.ResponseMismatch, mayHaveRun: true}, false
	}
	if outcome.PromisesNotRun(response.StatusCode) && !f.isInstanceRefusal(response) {
		return failure{reason: outcome.ServerError, mayHaveRun: true, err: errors.Errorf("status %d that is no instance's own", response.StatusCode)}, false
	}
	if response.StatusCode/100 == 2 && response.ContentLength < 0 && !hasNoBody(f.request.method, response.StatusCode) {
		return f.passStreamOn(response)
	}
	body, err := f.wholeBody.readWhole(response, response.ContentLength, maxResponseBytes, false)
	if err != nil {
		return failure{reason: readErrorReason(err), mayHaveRun: true, err: err}, false
	}
	whole := &wholeResponse{status: response.StatusCode, header: platform.ForwardedResponseHeader(response.Header), body: body, server: peerServer}
	switch {
	case response.Header.Get(platform.HeaderServerStamp) != "":
		f.writeWhole(whole)
	case response.Header.Get(platform.HeaderRetryAfter) != "":
		f.deliverWhole(whole)
		f.class.CountFinal(outcome.Refused)
	default:
		f.deliverWhole(whole)
		f.class.CountFinal(outcome.Unknown)
	}
	return failure{}, true
}

// isInstanceRefusal reports whether a response is another instance's own refusal, whose promise holds: it
// names the request, bears no server's stamp, and says when to come back, unless the body came too slowly.
func (f *forwarder) isInstanceRefusal(response *backendclient.Response) bool {
	h := response.Header
	return h.Get(platform.HeaderRequestID) == f.request.id && h.Get(platform.HeaderServerStamp) == "" &&
		(h.Get(platform.HeaderRetryAfter) != "" || response.StatusCode == http.StatusRequestTimeout)
}

// passStreamOn passes a stream on event by event.
func (f *forwarder) passStreamOn(response *backendclient.Response) (failure, bool) {
	in := f.readStream(response)
	defer in.buffered.release()
	for {
		block, ended, failed := f.nextBlock(in)
		switch {
		case failed != nil:
			return *failed, false
		case ended:
			f.beginResponse(response)
			f.recordCompleted(peerServer, response.StatusCode)
			return failure{}, true
		}
		pass, _, failed := f.judge(in, block)
		if failed == nil && pass {
			failed = f.passBlock(response, block)
		}
		if failed != nil {
			return *failed, false
		}
	}
}

// relayBroke ends a request whose response from another instance did not come whole.
func (f *forwarder) relayBroke(failed failure) {
	if f.callerCtx.Err() != nil {
		failed.reason = f.endReason()
	}
	f.lastFailure = failed
	f.request.recordPossibleRun(f.request.route)
	if failed.reason == outcome.CallerLeft {
		f.callerLeft()
		return
	}
	f.giveUp(nil)
}

func (f *forwarder) logRelayed(to gossip.Relay, status int) {
	req := f.request
	f.handler.Successes.Info("relayed", "request", req.id, "peer", to.Name, "status", status, "sends", req.sends,
		"events", f.stream.position.Events(), "elapsed_ms", time.Since(req.arrived).Milliseconds())
}

func (f *forwarder) logRelayFailed(to gossip.Relay, failed failure) {
	detail := ""
	if failed.err != nil {
		detail = failed.err.Error()
	}
	f.handler.Failures.Warn("relay failed", "request", f.request.id, "peer", to.Name, "reason", failed.reason.String(),
		"may_have_run", failed.mayHaveRun, "detail", detail, "events", f.stream.position.Events(), "elapsed_ms", time.Since(f.request.arrived).Milliseconds())
}
