package bench

import (
	"io"
	"runtime"
	"sync"

	"github.com/samber/lo"

	"chicoryhoist.example/hoist/cmd/hoistbench/sim"
)

// experiment simulates one site under one scheme and returns its figures.
type experiment func(site sim.Site, scheme string) []Figure

// experiments lists all experiments in the order of section 1.4 of the design page.
func experiments() []experiment {
	var list []experiment
	for _, multiple := range []int{2, 4} {
		for _, guidanceLoad := range []float64{0.6, 0.9, 1.2} {
			list = append(list, func(site sim.Site, scheme string) []Figure { return peak(site, scheme, multiple, guidanceLoad) })
		}
	}
	return append(list, blocking, straggling, lasting, bursting, leaving, stopping)
}

// Run prints every figure and then every bound; it returns the number of missed bounds.
func Run(w io.Writer) int {
	var figures []Figure
	for _, result := range runExperiments() {
		figures = append(figures, result...)
	}
	missed := 0
	for _, f := range figures {
		f.write(w)
	}
	for _, f := range figures {
		f.writeBound(w)
		if !f.Met() {
			missed++
		}
	}
	return missed
}

// runExperiments runs the experiments in parallel on all cores; the order of the results is fixed.
func runExperiments() [][]Figure {
	type task struct {
		run    experiment
		site   sim.Site
		scheme string
	}
	var tasks []task
	for _, site := range sim.Sites {
		for _, e := range experiments() {
			for _, s := range schemes {
				tasks = append(tasks, task{e, site, s})
			}
		}
	}
	results := make([][]Figure, len(tasks))
	next := make(chan int, len(tasks))
	for i := range tasks {
		next <- i
	}
	close(next)
	var workers sync.WaitGroup
	for range lo.Clamp(runtime.GOMAXPROCS(0), 1, len(tasks)) {
		workers.Go(func() {
			for i := range next {
				results[i] = tasks[i].run(tasks[i].site, tasks[i].scheme)
			}
		})
	}
	workers.Wait()
	return results
}
