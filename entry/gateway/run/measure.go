package run

import (
	"reflect"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"cuminfall.example/entry/router"
)

// measure registers the counters of all packages.
func (c *Command) measure() {
	fields := reflect.TypeOf(router.Stats{})
	for i := range fields.NumField() {
		c.gauge(name("router", fields.Field(i).Name), func() int64 {
			return int64(reflect.ValueOf(c.gateway.Counters()).Field(i).Uint())
		})
	}
	c.atomics("forward", reflect.ValueOf(&c.forward.Stats).Elem())
	c.atomics("session", reflect.ValueOf(&c.session.Stats).Elem())
	// The registry is new, so no name is taken.
	metrics.RegisterRuntimeMemStats(c.registry)
}

// atomics registers each atomic.Int64 field of a struct.
func (c *Command) atomics(group string, stats reflect.Value) {
	for i := range stats.NumField() {
		counter := stats.Field(i).Addr().Interface().(*atomic.Int64)
		c.gauge(name(group, stats.Type().Field(i).Name), counter.Load)
	}
}

func (c *Command) gauge(name string, read func() int64) {
	_ = c.registry.Register(name, metrics.NewFunctionalGauge(read))
}
