package run

import (
	"reflect"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"cuminfall.example/entry/router"
)

// registerMetrics registers the counters of the router, the forward client and the session, and the
// memory statistics of the Go runtime.
func (c *Command) registerMetrics() {
	fields := reflect.TypeOf(router.Stats{})
	for i := range fields.NumField() {
		c.registerGauge(metricName("router", fields.Field(i).Name), func() int64 {
			return int64(reflect.ValueOf(c.gateway.Counters()).Field(i).Uint())
		})
	}
	c.registerCounters("forward", reflect.ValueOf(&c.forward.Stats).Elem())
	c.registerCounters("session", reflect.ValueOf(&c.session.Stats).Elem())
	// This cannot fail, because the registry is new and has no metric of the same name.
	metrics.RegisterRuntimeMemStats(c.registry)
}

// registerCounters registers each atomic.Int64 field of a struct.
func (c *Command) registerCounters(group string, stats reflect.Value) {
	for i := range stats.NumField() {
		counter := stats.Field(i).Addr().Interface().(*atomic.Int64)
		c.registerGauge(metricName(group, stats.Type().Field(i).Name), counter.Load)
	}
}

func (c *Command) registerGauge(name string, read func() int64) {
	_ = c.registry.Register(name, metrics.NewFunctionalGauge(read))
}
