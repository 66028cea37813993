// Package engine is a stand-in for a model engine. It serves the OpenAI chat
// protocol with the additions of package engineapi.
//
// One loop runs the batch. Each step admits waiting requests by priority and
// then by arrival, computes a bounded number of uncached prompt tokens, and
// yields one token for every request whose prompt is done. A step's time is
// TokenTime, longer by BatchSlowdown for each further request in the batch,
// plus PrefillTime for each prompt token.
//
// The text of an answer follows from the prompt (package answer). Its length
// comes from the HeaderAnswerTokens header, else from the request's metadata
// "answer_tokens", else from the prompt and the request's seed with a heavy
// tail; max_tokens bounds it in each case.
//
// A request with "continue_final_message" goes on after its last message.
// max_tokens then counts the tokens to come, and the length counts all.
//
// The engine remembers how often each attempt and each prompt ran, for as long
// as it lives.
//
// A request that did not begin is refused with engineapi.HeaderNotStarted. An
// attempt id that is already known is refused with 409 and without it.
package engine
