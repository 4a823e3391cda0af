package work

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskKey identifies a task within one occurrence of a job.
type TaskKey struct {
	Job string `cbor:"1,keyasint"`
	// Occurrence counts from zero. It is zero for a job that runs once.
	Occurrence int `cbor:"2,keyasint,omitempty"`
	// Step and Index count from zero.
	Step  int `cbor:"3,keyasint,omitempty"`
	Index int `cbor:"4,keyasint,omitempty"`
}

// String formats the key as JOB.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string {
	return k.Job + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

const keyParts = 4

// ParseTaskKey parses the format of String. Errors: ErrInvalid.
func ParseTaskKey(text string) (TaskKey, error) {
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return TaskKey{}, fmt.Errorf("%w: malformed task key %q", ErrInvalid, text)
	}
	numbers := [keyParts]int{}
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskKey{}, fmt.Errorf("%w: malformed task key %q", ErrInvalid, text)
		}
		numbers[i+1] = number
	}
	return TaskKey{
		Job:        parts[0],
		Occurrence: numbers[1],
		Step:       numbers[2],
		Index:      numbers[3],
	}, nil
}
