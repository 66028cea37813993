package proxy

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/sashabaranov/go-openai"
)

// TestCommonClientLibrary checks that a common OpenAI client library works
// unchanged with only the base URL and the API key set.
func TestCommonClientLibrary(t *testing.T) {
	f := newFixture(t, 1)
	cfg := openai.DefaultConfig("secret")
	cfg.BaseURL = f.address + "/v1"
	client := openai.NewClientWithConfig(cfg)
	request := openai.ChatCompletionRequest{
		Model:               "loom",
		MaxCompletionTokens: 8,
		Messages:            []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "What is a kilim?"}},
	}

	models, err := client.ListModels(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Models) != 2 || models.Models[0].ID != "loom" {
		t.Errorf("got models %+v, want 2 models, the first with the ID loom", models.Models)
	}
	whole, err := client.CreateChatCompletion(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	streamed, usage := readStreamWith(t, client, request)
	if want := whole.Choices[0].Message.Content; streamed != want || want == "" {
		t.Errorf("got the streamed answer %q, want the same non-empty text as the whole answer %q", streamed, want)
	}
	if usage != whole.Usage.TotalTokens || usage == 0 {
		t.Errorf("got a streamed usage of %d tokens, want the same total, above 0, as in the whole answer's usage %+v", usage, whole.Usage)
	}

	request.Model = "silk"
	_, err = client.CreateChatCompletion(t.Context(), request)
	var refused *openai.APIError
	if !errors.As(err, &refused) || refused.HTTPStatusCode != 404 || refused.Code != "unknown_model" {
		t.Errorf("got the error %v, want the code unknown_model and status 404", err)
	}
}

// readStreamWith returns the text of a streamed answer and its total number of
// tokens.
func readStreamWith(t *testing.T, client *openai.Client, request openai.ChatCompletionRequest) (string, int) {
	t.Helper()
	request.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
	stream, err := client.CreateChatCompletionStream(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var text strings.Builder
	tokens := 0
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), tokens
		}
		if err != nil {
			t.Fatal(err)
		}
		if chunk.Usage != nil {
			tokens = chunk.Usage.TotalTokens
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
}
