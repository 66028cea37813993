// Package hedging decides when a request that may be repeated gets a second attempt at
// another server, because the first server takes longer than nearly all answers do. The
// operators accept this extra work up to a share of the requests; without a share nothing is
// hedged.
//
// A caller of this package keeps one Controller for an instance and goes through these steps
// for each send:
//
//   - Begin counts the send, and makes the plan when to ask whether to hedge.
//   - Ask decides, from the delay that was learnt, the limit and the state of the servers as a
//     whole. It takes one second attempt from the limit if the answer is yes.
//   - Judge then decides on the server that would get the second attempt, from its load and
//     that of all others. If it is against, Return gives the second attempt back.
//   - Answered or Outrun records how long the server took.
//
// The package reads no clock and does no input or output. Its state lies in the memory of one
// instance and is lost with it. See docs/design/hedging.md.
package hedging
