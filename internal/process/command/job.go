package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"mustardreach.example/mustardreach/internal/request/job"
	"mustardreach.example/mustardreach/internal/request/ledger"
)

// job groups the commands for single jobs.
func (s *session) job() *ffcli.Command {
	return &ffcli.Command{
		Name:       "job",
		ShortUsage: "mustardreach job submit|get|cancel [flags]",
		ShortHelp:  "submit, look up or cancel a job",
		FlagSet:    s.flags("job"),
		Subcommands: []*ffcli.Command{
			s.jobSubmit(),
			s.jobByID("get", "show a job with its attempts", http.MethodGet),
			s.jobByID("cancel", "cancel a job", http.MethodDelete),
		},
		Exec: s.requireSubcommand("mustardreach job -h"),
	}
}

// jobSubmit submits a job with an idempotency key, so that it can be retried.
func (s *session) jobSubmit() *ffcli.Command {
	var to target
	flags := s.flags("job submit")
	to.register(flags)
	var submission ledger.Submission
	flags.StringVar(&submission.Customer, "customer", "", "customer that the job is for")
	flags.StringVar(&submission.Class, "class", "", "job class, as defined in the release")
	flags.Float64Var(&submission.Cores, "cores", 1, "cores that the job needs")
	flags.Float64Var(&submission.MemoryGB, "memory-gb", 1, "memory that the job needs, in GB")
	flags.Int64Var(&submission.Accelerators, "accelerators", 0, "accelerators that the job needs")
	payload := flags.String("payload", "", "JSON for the worker, or @FILE")
	key := flags.String("key", "", "idempotency key; generated if not given")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "mustardreach job submit -config FILE.ini -customer C -class K [flags]",
		ShortHelp:  "submit a job",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := readPayload(*payload, &submission); err != nil {
				return err
			}
			if *key == "" {
				*key = uuid.NewString()
			}
			address, err := to.callersAddress()
			if err != nil {
				return err
			}
			body, err := json.Marshal(submission)
			if err != nil {
				return usageError("%w", err)
			}
			answer, err := call{
				method:  http.MethodPost,
				address: address,
				path:    "/v1/jobs",
				header:  http.Header{"Idempotency-Key": {*key}},
				body:    body,
			}.do(ctx)
			if err != nil {
				return fmt.Errorf("%w; to retry this submission, add -key %s", err, *key)
			}
			return s.printJob(to, answer)
		},
	}
}

// readPayload sets the payload from the flag: JSON, or @ and a file name.
func readPayload(text string, submission *ledger.Submission) error {
	if text == "" {
		return nil
	}
	body := []byte(text)
	if text[0] == '@' {
		read, err := os.ReadFile(text[1:])
		if err != nil {
			return usageError("-payload: %w", err)
		}
		body = read
	}
	if !json.Valid(body) {
		return usageError("-payload: not valid JSON")
	}
	submission.Payload = body
	return nil
}

// jobByID returns a command that calls the given method on one job.
func (s *session) jobByID(name, help, method string) *ffcli.Command {
	var to target
	flags := s.flags("job " + name)
	to.register(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: fmt.Sprintf("mustardreach job %s -config FILE.ini JOB", name),
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("expected exactly one job ID")
			}
			address, err := to.callersAddress()
			if err != nil {
				return err
			}
			answer, err := call{
				method:  method,
				address: address,
				path:    "/v1/jobs/" + url.PathEscape(args[0]),
			}.do(ctx)
			if err != nil {
				return err
			}
			return s.printJob(to, answer)
		},
	}
}

func (s *session) printJob(to target, answer []byte) error {
	if to.json {
		_, err := s.out.Write(answer)
		return err
	}
	record, err := job.Decode(answer)
	if err != nil {
		return refusedError("unexpected response from the host: %w", err)
	}
	_, _ = fmt.Fprintf(s.out, "job %s: %s", record.ID, record.State)
	if record.Cancel && !record.State.Final() {
		_, _ = fmt.Fprint(s.out, ", to be cancelled")
	}
	if record.Reason != "" {
		_, _ = fmt.Fprintf(s.out, " (%s)", record.Reason)
	}
	_, _ = fmt.Fprintln(s.out)
	for _, attempt := range record.Attempts {
		_, _ = fmt.Fprintln(s.out, "  "+attemptLine(attempt))
	}
	return nil
}

func attemptLine(attempt job.Attempt) string {
	line := fmt.Sprintf("attempt %d on %s in %s: %s, committed %s", attempt.N, attempt.Worker, attempt.Zone,
		attempt.State, formatTime(attempt.CommittedAt))
	if !attempt.EndedAt.IsZero() {
		line += ", ended " + formatTime(attempt.EndedAt)
	}
	if attempt.From != "" {
		line += ", resumed from " + attempt.From
	}
	if attempt.Detail != "" {
		line += ": " + attempt.Detail
	}
	return line
}
