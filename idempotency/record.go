package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/outcome"
)

const (
	// Partitions is the number of partitions that claims are distributed over.
	// Each partition is an object kind of its own, so a sweep can list the
	// claims of one partition at a time.
	Partitions = 64
	// nameBytes is the length of a claim's name in bytes, before hex encoding.
	nameBytes = 20
)

// recordState is the state of a claim as stored.
type recordState string

const (
	stateClaimed   recordState = "claimed"
	stateCompleted recordState = "completed"
	stateUnknown   recordState = "unknown"
)

// record is the spec of a claim's object.
type record struct {
	// Nonce is a random text by which an instance recognises its own claim.
	Nonce string `json:"nonce"`
	// Digest is the digest of the request that claimed the key.
	Digest string      `json:"digest"`
	State  recordState `json:"state"`
	// MadeAt is when the claim was made, on the clock of the instance that made
	// it.
	MadeAt time.Time `json:"madeAt"`
	// Status, Body and Truncated are the response of a completed request.
	Status    int    `json:"status,omitempty"`
	Body      []byte `json:"body,omitempty"`
	Truncated bool   `json:"truncated,omitempty"`
}

// outcome returns the stored outcome of a completed request.
func (r record) outcome() Outcome {
	return Outcome{Final: outcome.Completed, Status: r.Status, Body: r.Body, Truncated: r.Truncated}
}

// withOutcome returns a copy of the record to which the outcome of a request
// was added. The request ran or may have run.
func (r record) withOutcome(o Outcome) record {
	if o.Final != outcome.Completed {
		r.State = stateUnknown
		return r
	}
	r.State = stateCompleted
	r.Status = o.Status
	r.Body, r.Truncated = o.Body, o.Truncated
	if len(o.Body) > MaxStoredBody {
		r.Body, r.Truncated = nil, true
	}
	return r
}

// object returns the object for a new claim.
func (r record) object(req Request) api.Object {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(req.Organisation), req.Organisation, req.Key)))
	return api.Object{
		Kind: partitionKind(int(sum[nameBytes]) % Partitions),
		Name: hex.EncodeToString(sum[:nameBytes]),
		Spec: r.encode(),
	}
}

func (r record) encode() json.RawMessage {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("idempotency: encode record: %v", err))
	}
	return raw
}

func decodeRecord(obj api.Object) (record, error) {
	var r record
	if err := json.Unmarshal(obj.Spec, &r); err != nil {
		return record{}, errors.Wrap(err, "decode claim")
	}
	return r, nil
}

// partitionKind returns the object kind of a partition's claims.
func partitionKind(partition int) api.Kind {
	return api.Kind(fmt.Sprintf("%s-%02d", api.KindClaim, partition))
}
