package gate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"mustardreach.example/mustardreach/internal/process/platform"
)

// ClaimPrefix is the key prefix of claims in the platform's store.
const ClaimPrefix = "mustardreach/claims/"

// maxRecordedBodyBytes is the largest answer body that is stored with a claim.
const maxRecordedBodyBytes = 256 << 10

// ClaimState is the progress of the single run of a keyed request.
type ClaimState string

// The states of a claim. A key in state ClaimNotRun may be claimed again.
const (
	ClaimOpen    ClaimState = "claimed"
	ClaimDone    ClaimState = "done"
	ClaimNotRun  ClaimState = "not_run"
	ClaimUnknown ClaimState = "unknown"
)

// Claim is the record of one idempotency key.
type Claim struct {
	State ClaimState `json:"state"`
	// Token is unique for each request that tries to claim the key.
	Token string `json:"token"`
	Host  string `json:"host"`
	// Request is a digest of the request, to detect a key that is used for two
	// different requests.
	Request string `json:"request"`
	// Deadline is when the run has certainly ended.
	Deadline time.Time `json:"deadline"`
	// Status, Type and Body are the recorded answer of a completed run.
	Status int    `json:"status,omitempty"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// Cut means that the body was too large to store.
	Cut bool `json:"cut,omitempty"`
}

// errClaimFailed means that the key could not be claimed, so the request must
// not be sent.
var errClaimFailed = errors.New("idempotency key could not be claimed")

// claimKey returns the platform key for an idempotency key.
func claimKey(customer, service, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + service + "\x00" + key))
	return ClaimPrefix + hex.EncodeToString(sum[:16])
}

// storedClaim is a claim in the platform's store with its key and revision.
type storedClaim struct {
	key      string
	claim    Claim
	revision int64
}

// claim acquires the key or returns the existing claim. On errClaimFailed the
// caller must not send the request.
func (h *Handler) claim(ctx context.Context, key string, proposed Claim) (acquired bool, found storedClaim, err error) {
	expectedRevision := int64(0)
	for range maxClaimTries {
		acquired, found, err = h.tryClaim(ctx, key, proposed, expectedRevision)
		switch {
		case errors.Is(err, platform.ErrUnknown):
			continue // safe to repeat: the same token can claim the key only once
		case err != nil:
			return false, found, fmt.Errorf("%w: %s: %v", errClaimFailed, key, err)
		case !acquired && found.claim.State == ClaimNotRun && found.claim.Request == proposed.Request:
			expectedRevision = found.revision
			continue
		}
		return acquired, found, nil
	}
	return false, found, fmt.Errorf("%w: %s: %v", errClaimFailed, key, err)
}

// maxClaimTries bounds the tries to claim a key, when answers are lost or the
// earlier claim ended as not run.
const maxClaimTries = 4

// tryClaim writes the claim if the key is at expectedRevision (0: absent) and
// returns the claim that is stored afterwards.
func (h *Handler) tryClaim(ctx context.Context, key string, proposed Claim, expectedRevision int64) (bool, storedClaim, error) {
	text, err := json.Marshal(proposed)
	if err != nil {
		return false, storedClaim{}, err
	}
	response, err := h.config.Commit(ctx, platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAt(key, expectedRevision)},
		Success: []platform.Op{platform.Put(key, text), platform.Get(key)},
		Failure: []platform.Op{platform.Get(key)},
	})
	if err != nil {
		return false, storedClaim{}, err
	}
	found, err := readClaim(key, response)
	return err == nil && found.claim.Token == proposed.Token, found, err
}

func readClaim(key string, response platform.TxnResponse) (storedClaim, error) {
	found := storedClaim{
		key: key,
	}
	if len(response.Responses) == 0 {
		return found, platform.ErrUnknown
	}
	answer := response.Responses[len(response.Responses)-1].Range
	if answer == nil || len(answer.Kvs) == 0 {
		return found, platform.ErrUnknown
	}
	found.revision = int64(answer.Kvs[0].ModRevision)
	if err := json.Unmarshal(answer.Kvs[0].Value, &found.claim); err != nil {
		return found, platform.ErrRefused
	}
	return found, nil
}

// outcomeWriter records the outcome of a claimed run.
type outcomeWriter struct {
	handler     *Handler
	storedClaim storedClaim
}

// recordRetryDelay is the time between two tries to record an outcome.
const recordRetryDelay = 500 * time.Millisecond

// maxRecordTries bounds the tries to record an outcome. After that the claim
// stays open, which is answered as unknown once its deadline has passed.
const maxRecordTries = 120

// run retries write until the outcome is recorded or the tries are used up.
func (o *outcomeWriter) run() {
	for range maxRecordTries {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := o.write(ctx)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(recordRetryDelay)
	}
}

// write records the outcome if the claim has not changed since.
func (o *outcomeWriter) write(ctx context.Context) error {
	text, err := json.Marshal(o.storedClaim.claim)
	if err != nil {
		return nil
	}
	_, err = o.handler.config.Commit(ctx, platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAt(o.storedClaim.key, o.storedClaim.revision)},
		Success: []platform.Op{platform.Put(o.storedClaim.key, text)},
	})
	return err
}
