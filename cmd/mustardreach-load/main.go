// Command mustardreach-load offers load to a running site and prints figures
// from what its back ends recorded.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"mustardreach.example/mustardreach/internal/process/load"
)

func main() {
	flags := flag.NewFlagSet("mustardreach-load", flag.ExitOnError)
	callers := flags.String("callers", "", "callers' addresses of the hosts, comma separated")
	operators := flags.String("operators", "", "operators' addresses of the hosts, comma separated")
	admin := flags.String("admin", "127.0.0.1:7000", "address that steers the stand-ins")
	name := flags.String("plan", "", "what to run")
	service := flags.String("service", "quotes", "idempotent service that gets the requests")
	seed := flags.Uint64("seed", 1, "seed of everything random")
	base := flags.Int("check_base", -1, "tell whether the ports of a site above this base are free, and end")
	_ = ff.Parse(flags, os.Args[1:])
	if *base >= 0 {
		if taken := load.TakenPort(context.Background(), *base); taken != 0 {
			fmt.Fprintf(os.Stderr, "port %d is taken\n", taken)
			os.Exit(1)
		}
		return
	}
	for _, plan := range load.Plans() {
		if plan.Name != *name {
			continue
		}
		site := &load.Site{
			Callers:   strings.Split(*callers, ","),
			Operators: strings.Split(*operators, ","),
			Admin:     *admin,
			Service:   *service,
			Random:    rand.New(rand.NewPCG(*seed, *seed)),
		}
		site.Open()
		report := load.NewReport(os.Stdout)
		plan.Run(site, report)
		os.Exit(report.Finish())
	}
	for _, plan := range load.Plans() {
		fmt.Printf("%-18s %s\n", plan.Name, plan.Shows)
	}
	if *name != "" {
		os.Exit(2)
	}
}
