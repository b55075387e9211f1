package controlstate

import "galenamoor/internal/controlpb"

// Intent returns the record of a non-repeatable call, or nil if the key is unknown or its record has expired.
func (s *State) Intent(key string) *controlpb.IntentRecord {
	record, ok := s.intents[key]
	if !ok {
		return nil
	}
	return &controlpb.IntentRecord{
		Key:                key,
		Time:               record.time,
		Service:            record.service.Value(),
		Gateway:            record.gateway.Value(),
		GatewayIncarnation: record.incarnation,
		Outcome:            record.outcome,
	}
}
