package httpapi

import (
	"galenamoor/api/gen/endpoints"
	"galenamoor/api/gen/operators"
	"galenamoor/api/gen/workers"
	"galenamoor/internal/controlpb"
)

// problemNames maps result codes to the error names of the API design.
var problemNames = map[controlpb.ResultCode]string{
	controlpb.ResultCode_RESULT_CONFLICT:    "Conflict",
	controlpb.ResultCode_RESULT_INVALID:     "Invalid",
	controlpb.ResultCode_RESULT_REJECTED:    "Rejected",
	controlpb.ResultCode_RESULT_DUPLICATE:   "Rejected",
	controlpb.ResultCode_RESULT_NOT_FOUND:   "NotFound",
	controlpb.ResultCode_RESULT_UNAVAILABLE: "Unavailable",
	controlpb.ResultCode_RESULT_UNKNOWN:     "Unknown",
	controlpb.ResultCode_RESULT_KEY_EXPIRED: "KeyExpired",
}

// problemFunc returns the error type that goa generated for one of the services.
type problemFunc func(name, message string, version *uint64) error

func operatorProblem(name, message string, version *uint64) error {
	return &operators.Problem{Name: name, Message: message, Version: version}
}

func workerProblem(name, message string, version *uint64) error {
	return &workers.Problem{Name: name, Message: message, Version: version}
}

func endpointProblem(name, message string, version *uint64) error {
	return &endpoints.Problem{Name: name, Message: message, Version: version}
}

// checkResult returns the error for a result, or nil when the result is OK.
func checkResult(result *controlpb.Result, newProblem problemFunc) error {
	if result.GetCode() == controlpb.ResultCode_RESULT_OK {
		return nil
	}
	name := problemNames[result.GetCode()]
	if name == "" {
		name = "Unknown"
	}
	var version *uint64
	if result.GetCode() == controlpb.ResultCode_RESULT_CONFLICT {
		current := result.GetVersion()
		version = &current
	}
	return newProblem(name, result.GetMessage(), version)
}
