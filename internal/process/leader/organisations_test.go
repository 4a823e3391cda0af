package leader

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/process/schedule"
)

// Guards against a log line that grows with the number of organisations.
func TestMostHeldOrganisationsAreFew(t *testing.T) {
	var organisations []schedule.Organisation
	for i := range 380 {
		organisations = append(organisations, schedule.Organisation{
			Name: fmt.Sprintf("o%03d", i),
			Held: i,
		})
	}
	described := describeMostHeld(organisations)
	assert.Len(t, described, maxLoggedOrganisations)
	assert.Contains(t, described[0], "o379")
}
