// Command mustardreach schedules latency-critical requests and batch jobs.
package main

import (
	"os"

	"mustardreach.example/mustardreach/internal/process/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
