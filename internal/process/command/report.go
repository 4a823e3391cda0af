package command

import (
	"context"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// reportMode is the permission mode of the HTML report.
const reportMode = 0o644

// report prints the error budget burn of the fleet.
func (s *session) report() *ffcli.Command {
	var to target
	flags := s.flags("report")
	to.register(flags)
	html := flags.String("html", "", "write a self-contained HTML page to this file")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "mustardreach report -config FILE.ini [-json | -html FILE]",
		ShortHelp:  "show error budget burn by service and customer",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			address, err := to.operatorsAddress()
			if err != nil {
				return err
			}
			format := "text"
			switch {
			case *html != "":
				format = "html"
			case to.json:
				format = "json"
			}
			body, err := call{
				method:  http.MethodGet,
				address: address,
				path:    "/v1/report/slo?format=" + format,
			}.do(ctx)
			if err != nil {
				return err
			}
			if *html == "" {
				_, err = s.out.Write(body)
				return err
			}
			if err := os.WriteFile(*html, body, reportMode); err != nil {
				return refusedError("%w", err)
			}
			return nil
		},
	}
}
