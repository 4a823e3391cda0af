package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mustardreach.example/mustardreach/internal/request/ledger"
)

// ledger prints the jobs of a customer with their times, workers, attempts and
// outcomes. It is the evidence in an invoice dispute.
func (s *session) ledger() *ffcli.Command {
	var to target
	flags := s.flags("ledger")
	to.register(flags)
	customer := flags.String("customer", "", "customer whose ledger to show")
	return &ffcli.Command{
		Name:       "ledger",
		ShortUsage: "mustardreach ledger -config FILE.ini -customer C [-json]",
		ShortHelp:  "show everything accepted for a customer: done once, not done or pending",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *customer == "" {
				return usageError("-customer is missing")
			}
			address, err := to.callersAddress()
			if err != nil {
				return err
			}
			answer, err := call{
				method:  http.MethodGet,
				address: address,
				path:    "/v1/customers/" + url.PathEscape(*customer) + "/ledger",
			}.do(ctx)
			if err != nil {
				return err
			}
			if to.json {
				_, err := s.out.Write(answer)
				return err
			}
			return s.printLedger(answer)
		},
	}
}

// printLedger prints an aligned line for each job, followed by its attempts.
func (s *session) printLedger(answer []byte) error {
	var found ledger.Ledger
	if err := json.Unmarshal(answer, &found); err != nil {
		return refusedError("unexpected response from the host: %w", err)
	}
	counts := map[ledger.Standing]int{}
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "STANDING\tJOB\tCLASS\tSUBMITTED\tENDED\tATTEMPTS\tREASON")
	for _, line := range found.Lines {
		counts[line.Standing]++
		record := line.Record
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", line.Standing, record.ID, record.Class,
			formatTime(record.SubmittedAt), formatTime(record.EndedAt), record.Total, record.Reason)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	rows := strings.Split(strings.TrimRight(text.String(), "\n"), "\n")
	_, _ = fmt.Fprintln(s.out, rows[0])
	for i, line := range found.Lines {
		_, _ = fmt.Fprintln(s.out, strings.TrimRight(rows[i+1], " "))
		for _, attempt := range line.Record.Attempts {
			_, _ = fmt.Fprintln(s.out, "  "+attemptLine(attempt))
		}
	}
	_, err := fmt.Fprintf(s.out, "%s: %d done once, %d not done, %d pending\n", found.Customer,
		counts[ledger.DoneOnce], counts[ledger.NotDone], counts[ledger.Pending])
	return err
}
