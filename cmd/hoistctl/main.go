// Command hoistctl checks, compares and bundles configuration snapshots and calls the administration interface of a router.
package main

import "os"

func main() {
	os.Exit(int(run(os.Args[1:], console{os.Stdin, os.Stdout, os.Stderr})))
}
