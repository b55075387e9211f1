package httpapi

import (
	"context"
	"encoding/json"

	"galenamoor/api/gen/operators"
)

// Burn implements operators.Service.
func (s *operatorService) Burn(ctx context.Context) (*operators.BurnReport, error) {
	report, err := convert[operators.BurnReport](s.reporter.Report(ctx))
	if err != nil {
		return nil, operatorProblem("Unavailable", "the report can't be converted: "+err.Error(), nil)
	}
	return report, nil
}

// convert converts a value to a type with the same field names by encoding it as JSON.
func convert[T any](source any) (*T, error) {
	data, err := json.Marshal(source)
	if err != nil {
		return nil, err
	}
	target := new(T)
	if err := json.Unmarshal(data, target); err != nil {
		return nil, err
	}
	return target, nil
}
