// Package engine is a stand-in for a model engine. It serves the OpenAI chat
// protocol with the extensions of package engineapi.
//
// One loop computes the batch in steps. Each step first moves waiting requests
// to the batch, by priority and then by arrival. It computes a limited number
// of uncached prompt tokens, and generates one token for each request whose
// prompt is done. A step takes TokenTime, increased by the fraction
// BatchSlowdown for each request in the batch beyond the first, plus
// PrefillTime for each prompt token.
//
// The text of an answer depends on the prompt (see package answer). Its length
// comes from the header HeaderAnswerTokens or else from the key "answer_tokens"
// in the request's metadata. Without either, the length is drawn from a
// heavy-tailed distribution, with the prompt and the request's seed as the
// seed. max_tokens limits the length in all cases.
//
// A request with "continue_final_message" continues the text of its last
// message. max_tokens then limits the tokens that are still to be generated,
// whereas the length includes the text of the last message.
//
// The engine counts how often each attempt and each prompt ran, and never
// forgets these counts.
//
// A request that is refused before it starts gets engineapi.HeaderNotStarted. A
// request with a known attempt id is refused with status 409 and without this
// header.
package engine
