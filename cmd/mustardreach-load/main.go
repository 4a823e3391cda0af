// Command mustardreach-load runs a load plan against a running site and prints
// figures from the records of its back ends.
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
	callers := flags.String("callers", "", "addresses for callers of the hosts, comma separated")
	operators := flags.String("operators", "", "addresses for operators of the hosts, comma separated")
	admin := flags.String("admin", "127.0.0.1:7000", "address that controls the stand-ins")
	planName := flags.String("plan", "", "plan to run; without one, the plans are listed")
	service := flags.String("service", "quotes", "idempotent service that receives the requests")
	seed := flags.Uint64("seed", 1, "seed of the random numbers")
	portBase := flags.Int("check_base", -1, "check whether the ports of a site above this base are free, and exit")
	_ = ff.Parse(flags, os.Args[1:])
	if *portBase >= 0 {
		if occupied := load.PortInUse(context.Background(), *portBase); occupied != 0 {
			fmt.Fprintf(os.Stderr, "port %d is already in use\n", occupied)
			os.Exit(1)
		}
		return
	}
	for _, plan := range load.Plans() {
		if plan.Name != *planName {
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
		fmt.Printf("%-18s %s\n", plan.Name, plan.Description)
	}
	if *planName != "" {
		os.Exit(2)
	}
}
