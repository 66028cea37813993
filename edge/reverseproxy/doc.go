// Package reverseproxy forwards callers' requests to backend servers without
// parsing their bodies: host and path select the route, and everything else
// about a request is read from its header.
//
// A request is read and checked, a server is chosen, the request is sent there,
// and the response is relayed. After a failure the request goes to another
// server if the route and the service's retry budget allow it. If a stream may
// be resumed, another server continues it within the same response to the caller.
// A server's silence is no failure: a further server is asked beside the silent one,
// and takes its place only once the further server responds.
//
// Guarantees:
//
//   - A refusal (429, 503, 408) is given only if no server ran the request: it
//     was not sent, or each server stated that it did not run it.
//   - A request that a server may have run is sent to a further one only if the route of
//     each of these sends allows that, and the route by which it is sent next. This is checked
//     directly before each further send, since a new configuration may change the route meanwhile.
//     The retry is taken from the budget of the service that gets it.
//   - A response is passed on as the route says by which its server got the request.
//   - A request that package crashguard withholds, or whose prompt holds a part that it
//     withholds, is not sent.
//   - A stream goes on only at servers of the software version that made its first event, and only
//     by routes whose streams may be resumed. A request that takes up a stream whose version is
//     not known is refused.
//   - A server that said that it leaves, or that asked for time, is not sent to.
//   - While this instance reaches no server, a request is handed on to another instance, which
//     gives all of these guarantees for it. It is handed on once, and goes to no third instance
//     if the second one may have got it.
//   - A server that names a limit gets no more than this instance's share of it.
//   - API key and route are looked up again before each send, in the configuration
//     that is in force at that time.
//   - A successful response is passed on only if it has the server's stamp, and
//     only with its whole body. A stream's events arrive once and in order. What another
//     server answers when it is asked to go on is part of the stream only if it has the
//     stream's media type and numbered events, and ends it only if it states an end. If
//     a stream is aborted, the caller's connection is closed without the
//     regular end of the response.
//   - When the caller leaves, the work at the server is stopped.
//   - The final response is given as soon as it is known, and at the latest
//     at the request's deadline or when the route's timeout has passed.
package reverseproxy
