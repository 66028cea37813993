// Package engineapi defines the messages between the router and a model engine
// that extend the OpenAI protocol, as the engines of the platform publish them.
//
// A completion request carries an attempt id and a priority. Each frame of a
// streamed response is a server-sent event with a number as its id, counted
// from 1. If the connection breaks, the engine keeps the stream for the time in
// HeaderHold. During that time a GET on the stream's path with the standard
// Last-Event-ID header resumes the stream after that frame, and a DELETE
// cancels it. An engine that refuses a request without starting it says so in
// HeaderNotStarted.
//
// To continue a response at another engine, the router sends the text received
// so far as the last message, with role "assistant" and
// "continue_final_message": true.
package engineapi
