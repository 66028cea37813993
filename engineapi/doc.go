// Package engineapi defines the platform's extensions of the OpenAI protocol. The
// router and the model engines use them.
//
// A completion request carries an attempt id and a priority. Each frame of a
// streamed response is a server-sent event with a number as its id, counted
// from 1. If the connection breaks, the engine keeps the stream for the time in
// HeaderHold. During that time a GET on the stream's path resumes the stream
// after the frame whose number is in the standard header Last-Event-ID. A DELETE
// on the path cancels the stream. If an engine refuses a request without
// starting it, the response has HeaderNotStarted.
//
// To continue a response at another engine, the router sends the text received
// so far as the last message, with role "assistant" and
// "continue_final_message": true.
package engineapi
