package controlstate

import (
	"fmt"
	"strings"

	"galenamoor/internal/controlpb"
)

// Reason is a machine-readable reason why a command was refused. The message of a refusal starts with it.
type Reason string

// Reasons for refusing a command.
const (
	ReasonUnknownCommand    Reason = "UnknownCommand"
	ReasonNestedBatch       Reason = "NestedBatch"
	ReasonBadKey            Reason = "BadKey"
	ReasonKeyExpired        Reason = "KeyExpired"
	ReasonTooMany           Reason = "TooMany" // a limit on the size of the state is reached
	ReasonVersionConflict   Reason = "VersionConflict"
	ReasonBadConfiguration  Reason = "BadConfiguration"
	ReasonUnknownZone       Reason = "UnknownZone"
	ReasonZoneOut           Reason = "ZoneOut"
	ReasonZoneNotPermitted  Reason = "ZoneNotPermitted"
	ReasonUnknownWorker     Reason = "UnknownWorker"
	ReasonNotInInventory    Reason = "NotInInventory"
	ReasonCapacityExceeded  Reason = "CapacityExceeded"
	ReasonCapacityChanged   Reason = "CapacityChanged"
	ReasonStaleIncarnation  Reason = "StaleIncarnation"
	ReasonWorkerLost        Reason = "WorkerLost"
	ReasonBadJob            Reason = "BadJob"
	ReasonNameInUse         Reason = "NameInUse"
	ReasonNeverFits         Reason = "NeverFits"
	ReasonUnknownJob        Reason = "UnknownJob"
	ReasonServiceJob        Reason = "ServiceJob"
	ReasonUnknownTask       Reason = "UnknownTask"
	ReasonNotWaiting        Reason = "NotWaiting"
	ReasonNotPlaced         Reason = "NotPlaced"
	ReasonStaleFence        Reason = "StaleFence"
	ReasonBadCharge         Reason = "BadCharge"
	ReasonBadThrottle       Reason = "BadThrottle"
	ReasonBadEndpoint       Reason = "BadEndpoint"
	ReasonUnknownService    Reason = "UnknownService"
	ReasonUnknownEndpoint   Reason = "UnknownEndpoint"
	ReasonEndpointLeaving   Reason = "EndpointLeaving"
	ReasonSlotsExceeded     Reason = "SlotsExceeded"
	ReasonIntentExists      Reason = "IntentExists"
	ReasonUnknownIntent     Reason = "UnknownIntent"
	ReasonNotOwner          Reason = "NotOwner"
	ReasonOutcomeRecorded   Reason = "OutcomeRecorded"
	ReasonUnsupportedFormat Reason = "UnsupportedFormat"
)

// ReasonOf returns the reason of a refused command, or "" when it was applied.
func ReasonOf(r *controlpb.Result) Reason {
	if r.GetCode() == controlpb.ResultCode_RESULT_OK {
		return ""
	}
	reason, _, _ := strings.Cut(r.GetMessage(), ":")
	return Reason(reason)
}

func refuse(code controlpb.ResultCode, reason Reason, format string, args ...any) *controlpb.Result {
	return &controlpb.Result{Code: code, Message: string(reason) + ": " + fmt.Sprintf(format, args...)}
}

func invalid(reason Reason, format string, args ...any) *controlpb.Result {
	return refuse(controlpb.ResultCode_RESULT_INVALID, reason, format, args...)
}

func rejected(reason Reason, format string, args ...any) *controlpb.Result {
	return refuse(controlpb.ResultCode_RESULT_REJECTED, reason, format, args...)
}

func notFound(reason Reason, format string, args ...any) *controlpb.Result {
	return refuse(controlpb.ResultCode_RESULT_NOT_FOUND, reason, format, args...)
}

func unavailable(reason Reason, format string, args ...any) *controlpb.Result {
	return refuse(controlpb.ResultCode_RESULT_UNAVAILABLE, reason, format, args...)
}
