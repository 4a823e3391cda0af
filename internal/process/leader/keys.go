package leader

import (
	"strings"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string {
	return prefixJob + id
}

// StateKey returns the key of a job's progress record.
func StateKey(id string) string {
	return prefixState + id
}

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string {
	return prefixCancel + id
}

// decodeItem decodes an item under prefixWork: it returns a job, the id of a
// cancelled job, or neither. A job record that cannot be decoded is logged and
// ignored.
func decodeItem(item store.Item) (job *work.Job, cancelled string) {
	if id, ok := strings.CutPrefix(item.Key, prefixCancel); ok {
		return nil, id
	}
	if !strings.HasPrefix(item.Key, prefixJob) {
		return nil, ""
	}
	job, err := work.DecodeJob(item.Value)
	if err != nil {
		klog.ErrorS(err, "job record cannot be read", "key", item.Key, "revision", item.Revision)
		return nil, ""
	}
	return job, ""
}
