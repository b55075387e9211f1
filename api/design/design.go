// Package design defines the HTTP interfaces for operators, workers and endpoints in the goa DSL. api/gen is generated from
// it.
package design

import . "goa.design/goa/v3/dsl"

//go:generate ../generate.sh

var _ = API("galenamoor", func() {
	Title("galenamoor control interface")
	Description("Interfaces for operators, workers and endpoints. Calls of callers are served at a separate address.")
	Version("1")
	Server("daemon", func() {
		Services("operators", "workers", "endpoints")
		Host("local", func() { URI("http://127.0.0.1:7002") })
	})
})

// Problem is the body of every error response.
var Problem = Type("Problem", func() {
	Description("A typed refusal")
	ErrorName("Name", String, "Kind of the error", func() { Meta("struct:error:name") })
	Attribute("Message", String, "What was wrong and what was expected")
	Attribute("Version", UInt64, "Active configuration version, on a conflict")
	Required("Name", "Message")
})

// commonErrors declares the errors of every method.
func commonErrors() {
	Error("Invalid", Problem, "A value is malformed or refers to an unknown object")
	Error("NotFound", Problem, "The named object does not exist")
	Error("Conflict", Problem, "The version that the change replaces is not the active one")
	Error("Rejected", Problem, "An invariant forbids the change")
	Error("KeyExpired", Problem, "The request key is older than the retention time")
	Error("Overloaded", Problem, "A queue is full; the request was certainly not applied")
	Error("Unavailable", Problem, "No leader is reachable; the request was certainly not applied")
	Error("Unknown", Problem, "The request may have been applied; retry with the same request key")
}

// commonErrorResponses maps the errors of every method to HTTP status codes.
func commonErrorResponses() {
	Response("Invalid", StatusBadRequest)
	Response("NotFound", StatusNotFound)
	Response("Conflict", StatusConflict)
	Response("Rejected", StatusUnprocessableEntity)
	Response("KeyExpired", StatusGone)
	Response("Overloaded", StatusTooManyRequests)
	Response("Unavailable", StatusServiceUnavailable)
	Response("Unknown", StatusGatewayTimeout)
}

const (
	namePattern = `^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`
	keyPattern  = `^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`
	taskPattern = `^[A-Za-z0-9][A-Za-z0-9._-]{0,62}/[0-9]{1,6}$`

	maxConfigurationBytes = 4 << 20
	maxReports            = 4096
)

// nameAttribute declares an attribute that holds the name of an object.
func nameAttribute(attribute, description string) {
	Attribute(attribute, String, description, func() { Pattern(namePattern) })
}

// requestKeyAttribute declares the attribute for the idempotency key of a request.
func requestKeyAttribute() {
	Attribute("RequestKey", String, "Idempotency key; a repeated request gets the first reply", func() { Pattern(keyPattern) })
}

// Resources is an amount of processors, memory and accelerators.
var Resources = Type("Resources", func() {
	quantity := func(name, description string) {
		Attribute(name, Int64, description, func() {
			Minimum(0) // the upper bound is checked by resource.Vector
			Default(0)
		})
	}
	quantity("Processors", "Milli-cores")
	quantity("Memory", "MiB")
	quantity("Accelerators", "Whole devices")
})
