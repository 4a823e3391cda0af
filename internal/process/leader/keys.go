package leader

import (
	"strings"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/store"
	"mustardreach.example/mustardreach/internal/request/work"
)

// JobKey is where a job's record lies.
func JobKey(id string) string {
	return prefixJob + id
}

// StateKey is where a job's progress lies.
func StateKey(id string) string {
	return prefixState + id
}

// CancelKey is where a job's cancellation lies.
func CancelKey(id string) string {
	return prefixCancel + id
}

// decodeItem tells what an item of the work is: a job, the id of a job that is
// cancelled, or neither. A job that cannot be read is left out and logged.
func decodeItem(item store.Item) (one *work.Job, cancelled string) {
	if id, ok := strings.CutPrefix(item.Key, prefixCancel); ok {
		return nil, id
	}
	if !strings.HasPrefix(item.Key, prefixJob) {
		return nil, ""
	}
	one, err := work.DecodeJob(item.Value)
	if err != nil {
		klog.ErrorS(err, "job record cannot be read", "key", item.Key, "revision", item.Revision)
		return nil, ""
	}
	return one, ""
}
