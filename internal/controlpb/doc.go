// Package controlpb contains the protobuf messages of the replicated control log, its snapshots and the RPCs between
// daemons.
package controlpb

//go:generate ../../tools/generate-proto.sh
