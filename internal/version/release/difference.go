package release

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Difference lists the changes between two states, one line each: "+" for
// added, "-" for withdrawn, "~" for changed.
func Difference(before, after *State) []string {
	var lines []string
	lines = append(lines, diffObjects("service", before.Services, after.Services)...)
	lines = append(lines, diffObjects("class", before.Classes, after.Classes)...)
	lines = append(lines, diffObjects("quota", before.Quotas, after.Quotas)...)
	lines = append(lines, diffObjects("zone", before.Zones, after.Zones)...)
	return append(lines, diffObjects("worker", before.Workers, after.Workers)...)
}

func diffObjects[V any](kind string, before, after map[string]V) []string {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, inBefore := before[name]
		updated, inAfter := after[name]
		switch {
		case !inBefore:
			lines = append(lines, fmt.Sprintf("+ %s %s %+v", kind, name, updated))
		case !inAfter:
			lines = append(lines, fmt.Sprintf("- %s %s %+v", kind, name, old))
		case !reflect.DeepEqual(old, updated):
			lines = append(lines, fmt.Sprintf("~ %s %s %+v -> %+v", kind, name, old, updated))
		}
	}
	return lines
}
