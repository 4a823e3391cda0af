package rank

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The fields of a candidate decide in a fixed order. A field that decides too
// early lets jobs of a lower priority, or those that have missed their
// objective, go before the others.
func TestOrderOfFields(t *testing.T) {
	tests := map[string]struct {
		first, second Candidate
	}{
		"overdue before priority": {
			first: Candidate{
				Overdue:     true,
				LongRunning: true,
				Priority:    2,
			},
			second: Candidate{
				Density: 1,
			},
		},
		"priority before kind": {
			first: Candidate{
				LongRunning: true,
			},
			second: Candidate{
				Priority: 1,
				Density:  1,
			},
		},
		"kind before organisation": {
			first: Candidate{
				OrganisationShare: 2,
			},
			second: Candidate{
				LongRunning: true,
			},
		},
		"organisation before lateness": {
			first: Candidate{
				OrganisationShare: 0.5,
				Class:             Late,
			},
			second: Candidate{
				OrganisationShare: 1,
			},
		},
		"hopeless after all priorities": {
			first: Candidate{
				Priority:    2,
				LongRunning: true,
			},
			second: Candidate{
				Class:   Hopeless,
				Density: 1,
			},
		},
		"place before turn": {
			first: Candidate{
				Class:  Late,
				Placed: true,
			},
			second: Candidate{
				Class: Late,
				turn:  true,
			},
		},
		"late job whose turn it is": {
			first: Candidate{
				Class: Late,
				turn:  true,
			},
			second: Candidate{
				Density: 1,
			},
		},
		"lateness before density": {
			first: Candidate{},
			second: Candidate{
				Class:   Late,
				Density: 1,
			},
		},
		"deficit before density": {
			first: Candidate{
				deficit: 0.2,
			},
			second: Candidate{
				deficit: 0.1,
				Density: 1,
			},
		},
		"density before id": {
			first: Candidate{
				ID:      "b",
				Density: 1,
			},
			second: Candidate{
				ID: "a",
			},
		},
		"id last": {
			first: Candidate{
				ID: "a",
			},
			second: Candidate{
				ID: "b",
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := []*Candidate{&tt.second, &tt.first}
			slices.SortFunc(got, Compare)
			assert.Equal(t, []*Candidate{&tt.first, &tt.second}, got)
			assert.Zero(t, Compare(&tt.first, &tt.first))
		})
	}
}
