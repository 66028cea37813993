// Package engine is a stand-in for a model engine. It serves the OpenAI chat
// protocol with the extensions of package engineapi.
//
// One loop computes the batch in steps. Each step first moves waiting requests
// to the batch, by priority and then by arrival. Then it computes a limited
// number of uncached prompt tokens, and generates one token for each request
// whose prompt is done. A step with one request takes TokenTime. Each further
// request in the batch adds the fraction BatchSlowdown of TokenTime. Each
// prompt token adds PrefillTime.
//
// The text of an answer depends on the prompt (see package answer). The length
// of an answer comes from the header HeaderAnswerTokens, or else from the key
// "answer_tokens" in the request's metadata. Without either, the length is
// random with a heavy-tailed distribution; the prompt and the seed in the
// request determine it. max_tokens limits the length in all cases.
//
// A request with "continue_final_message" continues the text of its last
// message. The length of the answer then includes this text, but max_tokens
// limits only the new tokens.
//
// The engine counts how often each attempt and each prompt ran. The counts
// survive a crash.
//
// If a request is refused before it starts, the response has
// engineapi.HeaderNotStarted. If a request has the attempt id of an earlier
// request, the engine refuses it with status 409 and without this header.
package engine
