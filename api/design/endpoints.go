package design

import . "goa.design/goa/v3/dsl"

var _ = Service("endpoints", func() {
	Description("Announcements of endpoints. Every daemon accepts them.")
	commonErrors()
	HTTP(commonErrorResponses)

	Method("announce", func() {
		Description("Announces an endpoint or renews its lease.")
		Payload(func() {
			nameAttribute("Endpoint", "Name of the endpoint")
			Attribute("Incarnation", UInt64, "Number that increases with each start of the endpoint", func() { Minimum(1) })
			nameAttribute("Service", "Name of the service in the inventory")
			Attribute("Address", String, "IP address and port")
			nameAttribute("Zone", "Availability zone")
			Attribute("Slots", Int32, "Calls that it runs concurrently", func() {
				Minimum(1)
				Maximum(1024)
			})
			Attribute("Connections", Int32, "Connections that it accepts", func() {
				Minimum(1)
				Maximum(65535)
			})
			Attribute("InUse", Int32, "Slots in use; -1 when unknown", func() {
				Minimum(-1)
				Maximum(1024)
				Default(-1)
			})
			Required("Endpoint", "Incarnation", "Service", "Address", "Zone", "Slots", "Connections")
		})
		Result(func() {
			Attribute("Lease", Int64, "Lease duration in nanoseconds")
			Required("Lease")
		})
		HTTP(func() {
			POST("/v1/endpoints/{Endpoint}/announce")
			Response(StatusOK)
		})
	})

	Method("leave", func() {
		Description("Withdraws an endpoint: it receives no new calls, and calls in progress finish.")
		Payload(func() {
			nameAttribute("Endpoint", "Name of the endpoint")
			Attribute("Incarnation", UInt64, func() { Minimum(1) })
			Required("Endpoint", "Incarnation")
		})
		HTTP(func() {
			POST("/v1/endpoints/{Endpoint}/leave")
			Response(StatusNoContent)
		})
	})
})
