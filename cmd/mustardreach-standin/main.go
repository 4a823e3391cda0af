// Command mustardreach-standin runs stand-ins for the platform, the runners,
// the workers and the links between zones, all on loopback.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"mustardreach.example/mustardreach/internal/connection/worker"
	"mustardreach.example/mustardreach/internal/process/standin"
)

func main() {
	flags := flag.NewFlagSet("mustardreach-standin", flag.ExitOnError)
	admin := flags.String("admin", "127.0.0.1:7000", "address that controls the stand-ins")
	store := flags.String("platform", "127.0.0.1:7001", "address of the platform's store")
	zones := flags.String("zones", "recife,jaboatao,olinda", "zones, comma separated")
	service := flags.String("service", "quotes", "service that the runners belong to")
	runners := flags.Int("runners", 6, "number of runners")
	workers := flags.Int("workers", 6, "number of workers")
	rack := flags.Int("rack", 8, "workers per rack")
	serviceTime := flags.Duration("service-time", 20*time.Millisecond, "median service time of a request")
	cores := flags.Int64("cores", 32, "cores of a worker")
	memory := flags.Int64("memory-gb", 125, "memory of a worker in GB")
	accelerators := flags.Int64("accelerators", 2, "accelerators of a worker")
	listLag := flags.Duration("list-lag", time.Second, "delay of state changes in the discovery list")
	relays := flags.String("relays", "", "relays FROM>TO=LISTEN=TARGET, comma separated")
	_ = ff.Parse(flags, os.Args[1:])
	config := standin.SiteConfig{
		Admin:       *admin,
		Platform:    *store,
		Zones:       strings.Split(*zones, ","),
		Service:     *service,
		Runners:     *runners,
		Workers:     *workers,
		RackSize:    *rack,
		ServiceTime: *serviceTime,
		WorkerSize: worker.Size{
			MilliCores:   *cores * 1000,
			MemoryBytes:  *memory * 1_000_000_000,
			Accelerators: *accelerators,
		},
		ListLag: *listLag,
	}
	if *relays != "" {
		config.Relays = strings.Split(*relays, ",")
	}
	if _, err := standin.NewSite(config); err != nil {
		fmt.Fprintln(os.Stderr, "mustardreach-standin:", err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
}
