// Package engineapi holds the messages between the router and a model engine
// beside the OpenAI protocol, as the engines of the platform publish them.
//
// A completion carries an attempt id and a priority. Each frame of a streamed
// answer is a server-sent event whose id counts from 1. The engine keeps a cut
// stream for the time that HeaderHold asks; GET on the stream's path with the
// standard Last-Event-ID header resumes after that frame, and DELETE cancels
// it. An engine that did not begin a request says so in HeaderNotStarted.
//
// A stream goes on at another engine by sending the answer so far as the last
// message, with role "assistant" and "continue_final_message": true.
package engineapi
