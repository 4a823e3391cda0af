// Package fleetkey reads the shared secret by which entry hosts authenticate to
// each other. The secret is kept in the store: every process that can read the
// store is a member of the fleet.
package fleetkey

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

const (
	key         = "mustardreach/fleet_key"
	secretBytes = 32
	callTimeout = 800 * time.Millisecond
	// Delays between attempts, short because a host cannot serve without the
	// secret.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Fetch returns the secret in hex, and creates it if the store has none. It
// retries until the context ends and then returns the last error.
func Fetch(ctx context.Context, client store.Client) (string, error) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = initialRetryDelay
	retryDelay.MaxInterval = maxRetryDelay
	logged := false
	for {
		secret, err := readOrCreate(ctx, client)
		if err == nil {
			return secret, nil
		}
		if !logged {
			klog.InfoS("waiting for the store", "err", err)
			logged = true
		}
		select {
		case <-time.After(retryDelay.NextBackOff()):
		case <-ctx.Done():
			return "", fmt.Errorf("store key %s: %w", key, err)
		}
	}
}

// readOrCreate makes one attempt. When several hosts create the secret at once,
// the condition on the key lets one succeed and the others read its secret.
func readOrCreate(ctx context.Context, client store.Client) (string, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := client.Get(callCtx, key)
	if err == nil {
		return string(item.Value), nil
	}
	if !errors.Is(err, store.ErrAbsent) {
		return "", err
	}
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // documented never to fail
	text := hex.EncodeToString(secret)
	_, err = client.Commit(callCtx, store.Commit{
		If: []store.Condition{
			{
				Key: key,
			},
		},
		Set: []store.Write{
			{
				Key:   key,
				Value: []byte(text),
			},
		},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && len(conflict.Items) == 1 {
		return string(conflict.Items[0].Value), nil
	}
	return text, err
}
