package leader

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
