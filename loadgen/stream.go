package loadgen

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"bergamotpin.example/bergamotpin/outcome"
)

// doneMark ends a whole stream.
const doneMark = "[DONE]"

// chunk is what the generator reads of a completion or of one of its events.
type chunk struct {
	Error   *refusal `json:"error"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// whole reads an answer that is not streamed.
func (r *reading) whole() {
	raw, err := io.ReadAll(r.body)
	if err != nil {
		r.failed = true
		return
	}
	var got chunk
	if json.Unmarshal(raw, &got) == nil && len(got.Choices) > 0 {
		r.text.WriteString(got.Choices[0].Message.Content)
	}
	r.result.tokens = r.request.tokens
	r.complete()
}

// stream reads server-sent events up to the end mark or an error object.
func (r *reading) stream() {
	for {
		line, err := r.body.ReadString('\n')
		if err != nil {
			r.failed = true
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == doneMark {
			r.complete()
			return
		}
		if !r.event(data) {
			return
		}
	}
}

// event takes in one event. It reports false if the stream ended with an error.
func (r *reading) event(data string) bool {
	var got chunk
	if json.Unmarshal([]byte(data), &got) != nil {
		r.result.breach(WrongAnswer)
		return true
	}
	if got.Error != nil {
		r.fail(got.Error)
		return false
	}
	for _, choice := range got.Choices {
		r.content(choice.Delta.Content)
	}
	return true
}

// content takes in a piece of the answer.
func (r *reading) content(text string) {
	if text == "" {
		return
	}
	now := time.Now()
	if r.result.tokens == 0 {
		r.result.firstToken = now.Sub(r.due)
	} else {
		r.result.gaps = append(r.result.gaps, now.Sub(r.last))
	}
	r.last = now
	r.result.tokens++
	r.text.WriteString(text)
}

// fail ends the stream with the router's error object. Once part of the answer
// came, the request ran.
func (r *reading) fail(e *refusal) {
	end := e.result()
	if end.final == outcome.Refused && r.result.tokens > 0 {
		end.breach(RanAfterRefusal)
	}
	r.result.final, r.result.reason = end.final, end.reason
	r.result.violations = append(r.result.violations, end.violations...)
	r.checkPrefix(&r.result)
}
