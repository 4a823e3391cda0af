// Package fleetkey keeps the secret that hosts prove to each other. The store
// holds it: whoever may read the store belongs to the fleet.
package fleetkey

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
)

const (
	key         = "mustardreach/fleet_key"
	secretBytes = 32
	callTimeout = 800 * time.Millisecond
	// Pauses between tries; a host cannot serve before it has the key.
	firstRetry   = 50 * time.Millisecond
	longestRetry = 500 * time.Millisecond
)

// Fetch reads the secret, or makes one if there is none. It waits for the
// store until the context ends and then returns the last error.
func Fetch(ctx context.Context, client store.Client) (string, error) {
	pace := backoff.NewExponentialBackOff()
	pace.InitialInterval = firstRetry
	pace.MaxInterval = longestRetry
	told := false
	for {
		secret, err := try(ctx, client)
		if err == nil {
			return secret, nil
		}
		if !told {
			klog.InfoS("waiting for the store", "err", err)
			told = true
		}
		select {
		case <-time.After(pace.NextBackOff()):
		case <-ctx.Done():
			return "", err
		}
	}
}

func try(ctx context.Context, client store.Client) (string, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, err := client.Get(limited, key)
	if err == nil {
		return string(item.Value), nil
	}
	if !errors.Is(err, store.ErrAbsent) {
		return "", err
	}
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // never fails, by its documentation
	text := hex.EncodeToString(secret)
	_, err = client.Commit(limited, store.Commit{
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
