package main

import (
	"fmt"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/sidecar/wire"
)

// noTenant is the tenant index of requests whose tenant is not in the settings.
const noTenant = -1

// instance is one simulated sidecar. It implements balance.Actions by writing each action to the simulator.
type instance struct {
	number   int
	out      *wire.Writer
	names    *wire.Names
	balancer *balance.Balancer
}

// newInstance returns an instance with the settings of an event.
func newInstance(number int, out *wire.Writer, event *wire.Event) (*instance, error) {
	i := &instance{number: number, out: out, names: event.Names}
	var err error
	i.balancer, err = balance.New(event.Settings, i)
	return i, err
}

// handle passes an event on to the instance's Balancer.
func (i *instance) handle(now balance.Time, event *wire.Event) error {
	switch event.Kind {
	case wire.Endpoints:
		i.balancer.Endpoints(now, event.List, event.Entries)
	case wire.Request:
		return i.request(now, event)
	case wire.AnswerStarted:
		i.balancer.AnswerStarted(now, event.ID, event.Attempt)
	case wire.Result:
		i.balancer.Result(now, event.Result)
	case wire.ClientDisconnected:
		i.balancer.ClientDisconnected(now, event.ID)
	case wire.Timer:
		i.balancer.Timer(now, event.Token)
	}
	return nil
}

// request passes a request on, by the indexes of its class and tenant.
func (i *instance) request(now balance.Time, event *wire.Event) error {
	class, ok := i.names.Class[event.Class]
	if !ok {
		return fmt.Errorf("request of unknown class %q", event.Class)
	}
	tenant, ok := i.names.Tenant[event.Tenant]
	if !ok {
		tenant = noTenant
	}
	i.balancer.Request(now, balance.Request{ID: event.ID, Class: class, Tenant: tenant, TimeLeft: event.TimeLeft})
	return nil
}

// Send implements balance.Actions, as do the methods after it.
func (i *instance) Send(id balance.RequestID, endpoint string, timeout time.Duration) {
	i.out.Send(i.number, id, endpoint, timeout)
}

// Cancel writes a cancellation.
func (i *instance) Cancel(id balance.RequestID, attempt int) { i.out.Cancel(i.number, id, attempt) }

// Refuse writes a refusal.
func (i *instance) Refuse(id balance.RequestID, after time.Duration) {
	i.out.Refuse(i.number, id, after)
}

// Fail writes a failure.
func (i *instance) Fail(id balance.RequestID) { i.out.Fail(i.number, id) }

// Timer writes a request for a timer.
func (i *instance) Timer(after time.Duration, token uint64) { i.out.Timer(i.number, after, token) }

// Subscribe writes a subscription.
func (i *instance) Subscribe() { i.out.Subscribe(i.number) }

// Log writes a line for the operators.
func (i *instance) Log(text string) { i.out.Log(i.number, text) }
