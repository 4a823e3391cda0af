package platform

import (
	"encoding/json"
	"strconv"
)

// Int64 is a 64-bit integer, which etcd's JSON mapping encodes as a string.
type Int64 int64

// MarshalJSON writes the number as a string.
func (n Int64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON accepts both a string and a plain number.
func (n *Int64) UnmarshalJSON(text []byte) error {
	var number json.Number
	if err := json.Unmarshal(text, &number); err != nil {
		return err
	}
	value, err := number.Int64()
	*n = Int64(value)
	return err
}

// KeyValue is one stored key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
}

// Compare is one condition of a transaction. This package uses only the Result
// EQUAL.
type Compare struct {
	Key    []byte `json:"key"`
	Target string `json:"target"`
	Result string `json:"result"`
	// ModRevision is compared when Target is MOD; 0 means that the key does not
	// exist.
	ModRevision Int64 `json:"mod_revision,omitempty"`
	// Value is compared when Target is VALUE.
	Value []byte `json:"value,omitempty"`
}

// RangeRequest reads the keys in [Key, RangeEnd), or Key alone if RangeEnd is
// empty.
type RangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	Limit          Int64  `json:"limit,omitempty"`
	MinModRevision Int64  `json:"min_mod_revision,omitempty"`
}

// RangeResponse lists keys in order. Count is the number of keys in the range,
// regardless of Limit and MinModRevision.
type RangeResponse struct {
	Header *Header    `json:"header,omitempty"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	Count  Int64      `json:"count,omitempty"`
	More   bool       `json:"more,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

// DeleteRequest removes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Op is one operation of a transaction. Exactly one field is set.
type Op struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	Txn    *TxnRequest    `json:"request_txn,omitempty"`
}

// TxnRequest runs Success if all compares hold and Failure otherwise.
type TxnRequest struct {
	Compare []Compare `json:"compare,omitempty"`
	Success []Op      `json:"success,omitempty"`
	Failure []Op      `json:"failure,omitempty"`
}

// OpResponse is the response to the Op at the same index. One field is set.
type OpResponse struct {
	Range  *RangeResponse `json:"response_range,omitempty"`
	Put    *struct{}      `json:"response_put,omitempty"`
	Delete *struct{}      `json:"response_delete_range,omitempty"`
	Txn    *TxnResponse   `json:"response_txn,omitempty"`
}

// Header holds the store's revision at the time of the response.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// TxnResponse says which branch ran, Success if Succeeded, and holds the
// responses of its operations.
type TxnResponse struct {
	Header    *Header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []OpResponse `json:"responses,omitempty"`
}

// KeyAbsent returns the condition that the key does not exist.
func KeyAbsent(key string) Compare {
	return KeyAt(key, 0)
}

// KeyAt returns the condition that the key was last changed at the revision.
func KeyAt(key string, revision int64) Compare {
	return Compare{
		Key:         []byte(key),
		Target:      "MOD",
		Result:      "EQUAL",
		ModRevision: Int64(revision),
	}
}

// Get returns the operation that reads one key.
func Get(key string) Op {
	return Op{
		Range: &RangeRequest{
			Key: []byte(key),
		},
	}
}

// GetPrefix returns the operation that reads the keys with the prefix that were
// changed at or after the revision.
func GetPrefix(prefix string, minModRevision int64) Op {
	return Op{
		Range: &RangeRequest{
			Key:            []byte(prefix),
			RangeEnd:       prefixEnd(prefix),
			MinModRevision: Int64(minModRevision),
		},
	}
}

// Put returns the operation that writes one key.
func Put(key string, value []byte) Op {
	return Op{
		Put: &PutRequest{
			Key:   []byte(key),
			Value: value,
		},
	}
}

// Nested returns the operation that runs a transaction inside another. Its
// conditions do not affect the outer one.
func Nested(txn TxnRequest) Op {
	return Op{
		Txn: &txn,
	}
}

// prefixEnd returns the first key after all keys with the prefix; {0} is etcd's
// mark for no upper bound.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
