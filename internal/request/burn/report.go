package burn

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// HostSamples holds the samples of one host.
type HostSamples struct {
	Host    string   `json:"host"`
	Samples []Sample `json:"samples"`
}

// Alert is the urgency of a burn.
type Alert string

// The alerts. A fast burn spends 2 % of a 30-day budget in an hour, a slow one
// 10 % in three days.
const (
	AlertNone Alert = "none"
	AlertSlow Alert = "slow"
	AlertFast Alert = "fast"
)

// The burn rates from which an alert is raised.
const (
	fastBurn = 14.4
	slowBurn = 1.0
)

// Line is the report on one service and customer.
type Line struct {
	Key Key `json:"key"`
	// Target is the fraction of requests, below 1, that must be good.
	Target float64 `json:"target"`
	// Burn is the burn rate by window name; 1 spends the budget exactly over
	// its period.
	Burn map[string]float64 `json:"burn"`
	// Total and Bad count the requests of the longest window.
	Total uint64 `json:"total"`
	Bad   uint64 `json:"bad"`
	// BudgetLeft is the fraction of the longest window's budget that is left,
	// below 0 if it is overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert"`
	// Minutes is the fraction of bad requests in each of the last 60 minutes,
	// oldest first.
	Minutes []float64 `json:"minutes"`
}

// Report is the service-level burn of all hosts.
type Report struct {
	At    time.Time `json:"at"`
	Hosts []string  `json:"hosts"`
	// Missing lists the hosts whose counts could not be read.
	Missing []string `json:"missing,omitempty"`
	Lines   []Line   `json:"lines"`
}

// allCustomers is the customer of the line that sums up a service.
const allCustomers = "(all)"

// Merge adds up the samples of several hosts; the caller sets Missing in the
// report. objectives is the target by service; a service without a valid target
// is reported against defaultTarget.
func Merge(hosts []HostSamples, objectives map[string]float64, now time.Time) *Report {
	sums := map[Key]*Sample{}
	report := &Report{
		At: now.UTC(),
	}
	for _, host := range hosts {
		report.Hosts = append(report.Hosts, host.Host)
		for _, sample := range host.Samples {
			addSample(sums, sample.Key, sample)
			addSample(sums, Key{
				Service:  sample.Key.Service,
				Customer: allCustomers,
			}, sample)
		}
	}
	slices.Sort(report.Hosts)
	for _, key := range slices.SortedFunc(maps.Keys(sums), compareKeys) {
		report.Lines = append(report.Lines, newLine(*sums[key], objectives[key.Service]))
	}
	return report
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Customer, b.Customer))
}

func addSample(sums map[Key]*Sample, key Key, sample Sample) {
	sum := sums[key]
	if sum == nil {
		sum = &Sample{
			Key:     key,
			Counts:  make([]Count, len(Windows)),
			Minutes: make([]Count, ringMinutes),
		}
		sums[key] = sum
	}
	addCounts(sum.Counts, sample.Counts)
	addCounts(sum.Minutes, sample.Minutes)
}

func addCounts(sum, counts []Count) {
	for i := range min(len(sum), len(counts)) {
		sum[i].Total += counts[i].Total
		sum[i].Bad += counts[i].Bad
	}
}

// defaultTarget is the target of a service that the release no longer names.
const defaultTarget = 0.999

func newLine(sample Sample, target float64) Line {
	if target <= 0 || target >= 1 {
		target = defaultTarget
	}
	line := Line{
		Key:    sample.Key,
		Target: target,
		Burn:   map[string]float64{},
		Alert:  AlertNone,
	}
	for i, window := range Windows {
		line.Burn[window.Name] = badFraction(sample.Counts[i]) / (1 - target)
	}
	longest := sample.Counts[len(Windows)-1]
	line.Total, line.Bad = longest.Total, longest.Bad
	line.BudgetLeft = 1 - badFraction(longest)/(1-target)
	switch {
	case line.Burn["1h"] >= fastBurn && line.Burn["5m"] >= fastBurn:
		line.Alert = AlertFast
	case line.Burn["3d"] >= slowBurn && line.Burn["6h"] >= slowBurn:
		line.Alert = AlertSlow
	}
	for _, minute := range sample.Minutes {
		line.Minutes = append(line.Minutes, badFraction(minute))
	}
	return line
}

func badFraction(count Count) float64 {
	if count.Total == 0 {
		return 0
	}
	return float64(count.Bad) / float64(count.Total)
}

// WriteText writes the report as a table. Its error is that of out.
func (r *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "SERVICE\tCUSTOMER\tTARGET\tREQUESTS\tBAD")
	for _, window := range Windows {
		_, _ = fmt.Fprintf(table, "\tBURN %s", window.Name)
	}
	_, _ = fmt.Fprintf(table, "\tBUDGET LEFT\tALERT\n")
	for _, line := range r.Lines {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f%%\t%d\t%d", line.Key.Service, line.Key.Customer, 100*line.Target, line.Total, line.Bad)
		for _, window := range Windows {
			_, _ = fmt.Fprintf(table, "\t%.2f", line.Burn[window.Name])
		}
		_, _ = fmt.Fprintf(table, "\t%.1f%%\t%s\n", 100*line.BudgetLeft, line.Alert)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "hosts: %v, not heard: %v\n", r.Hosts, r.Missing)
	return err
}
