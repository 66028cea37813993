package loadgen

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// streamEndMark is the data of the last event of a complete stream.
const streamEndMark = "[DONE]"

// chunk holds the fields that the load generator reads of a chat completion
// response or of one event of a stream.
type chunk struct {
	Error   *errorObject `json:"error"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// readWhole reads a response that is not streamed.
func (r *responseReader) readWhole() {
	raw, err := io.ReadAll(r.body)
	if err != nil {
		r.connectionBroken = true
		return
	}
	var got chunk
	if json.Unmarshal(raw, &got) == nil && len(got.Choices) > 0 {
		r.text.WriteString(got.Choices[0].Message.Content)
	}
	r.result.tokens = r.request.answerTokens
	r.finish()
}

// readStream reads server-sent events until the end mark or an error object.
func (r *responseReader) readStream() {
	for {
		line, err := r.body.ReadString('\n')
		if err != nil {
			r.connectionBroken = true
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == streamEndMark {
			r.finish()
			return
		}
		if !r.readEvent(data) {
			return
		}
	}
}

// readEvent processes the data of one event. It returns false if the event is
// an error object, which ends the stream.
func (r *responseReader) readEvent(data string) bool {
	var got chunk
	if json.Unmarshal([]byte(data), &got) != nil {
		r.result.addViolation(WrongAnswer)
		return true
	}
	if got.Error != nil {
		r.endWithError(got.Error)
		return false
	}
	for _, choice := range got.Choices {
		r.addContent(choice.Delta.Content)
	}
	return true
}

// addContent adds a piece of the answer and records its latency.
func (r *responseReader) addContent(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if r.result.tokens == 0 {
		r.result.firstToken = now.Sub(r.due)
	} else {
		r.result.gaps = append(r.result.gaps, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.result.tokens++
	r.text.WriteString(text)
}

// endWithError records the error object that ends the stream. A refusal after
// the first token is a violation, because a refusal means that the request did
// not run.
func (r *responseReader) endWithError(e *errorObject) {
	end := e.toResult()
	if end.finalOutcome == outcome.Refused && r.result.tokens > 0 {
		end.addViolation(RanAfterRefusal)
	}
	r.result.finalOutcome, r.result.reason = end.finalOutcome, end.reason
	r.result.violations = append(r.result.violations, end.violations...)
	r.checkPrefix(&r.result)
}
